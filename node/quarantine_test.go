package node

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/quarantine"
)

// innocentPace is the time between two innocent requests.
const innocentPace = 40 * time.Millisecond

const (
	// fatalPath is the path of a read that crashes every upstream.
	fatalPath = "/browse/" + fatalPart
	// fatalWrite is the path of an unrepeatable request that crashes every upstream.
	fatalWrite = "/file/" + fatalPart
)

// distinctPath returns a different path for every request.
func distinctPath(i int) string { return "/browse/" + strconv.Itoa(i) }

// samePath returns the same path for every request.
func samePath(path string) func(int) string { return func(int) string { return path } }

// Guards against sending a request that crashes its upstreams to one upstream after the
// other, while the callers of innocent requests get no answer.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(3)
		innocent := m.call(innocentPace, func(i int) string { return "/browse/" + strconv.Itoa(i) })
		culprit := m.call(1500*time.Millisecond, func(int) string { return fatalPath })
		time.Sleep(time.Minute)
		culprit.stop()
		innocent.stop()
		f.c.Check(m.crashCount() <= 3, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
		f.c.Check(m.arrivalsAfter(fatalPath, 3, 3*time.Second) <= 3, qt.IsTrue)
		f.c.Check(innocent.share() > 0.98, qt.IsTrue, qt.Commentf("%.3f of the innocent requests served", innocent.share()))
	})
}

// Shows that without the quarantine the request crashes more than three upstreams.
func TestWithoutQuarantineUpstreamsKeepCrashing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(3, func(s *Settings) { s.Ablate.NoQuarantine = true })
		culprit := m.call(1500*time.Millisecond, samePath(fatalPath))
		time.Sleep(20 * time.Second)
		culprit.stop()
		f.c.Check(m.arrivalsAfter(fatalPath, 3, 3*time.Second) > 3, qt.IsTrue)
	})
}

// Guards against counting crashes for each upstream separately: a request that no node
// retries reaches another upstream each time.
func TestUnrepeatableRequestIsCountedOverAllUpstreams(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(6)
		innocent := m.call(innocentPace, distinctPath)
		culprit := m.call(1500*time.Millisecond, samePath(fatalWrite))
		time.Sleep(time.Minute)
		culprit.stop()
		innocent.stop()
		f.c.Check(m.crashCount() <= 3, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
		f.c.Check(innocent.share() > 0.98, qt.IsTrue, qt.Commentf("%.3f of the innocent requests served", innocent.share()))
		f.c.Check(innocent.held.Load(), qt.Equals, int64(0))
	})
}

// Guards against confusing several such requests that are sent at the same time with
// each other, or with a popular read that runs beside them.
func TestSeveralCausesAreQuarantinedAndThePopularReadIsNot(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(12)
		popular := m.call(innocentPace, samePath("/browse/popular"))
		culprits := m.call(700*time.Millisecond, func(i int) string { return fatalPath + strconv.Itoa(i%4) })
		time.Sleep(time.Minute)
		culprits.stop()
		popular.stop()
		for i := range 4 {
			path := fatalPath + strconv.Itoa(i)
			f.c.Check(m.arrivalCount(path) <= 6, qt.IsTrue, qt.Commentf("%s reached upstreams %d times", path, m.arrivalCount(path)))
		}
		f.c.Check(float64(popular.held.Load())/float64(popular.sent.Load()) < 0.01, qt.IsTrue)
		f.c.Check(popular.share() > 0.98, qt.IsTrue, qt.Commentf("%.3f of the popular reads served", popular.share()))
	})
}

// Guards against quarantining requests when upstreams crash for other reasons,
// frequently or all at once.
func TestCrashesOfOtherCausesQuarantineNothing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(4)
		popular := m.call(innocentPace, samePath("/browse/popular"))
		innocent := m.call(innocentPace, distinctPath)
		for i := range 30 {
			time.Sleep(time.Second)
			m.crashUpstream(m.nodes[i%len(m.nodes)])
			if i%10 == 0 {
				for _, n := range m.nodes {
					m.crashUpstream(n)
				}
			}
		}
		popular.stop()
		innocent.stop()
		f.c.Check(m.crashCount() > 30, qt.IsTrue)
		refused := func(c *callers) float64 { return float64(c.held.Load()) / float64(c.sent.Load()) }
		f.c.Check(refused(popular) < 0.01, qt.IsTrue, qt.Commentf("%d popular reads held", popular.held.Load()))
		f.c.Check(refused(innocent) < 0.01, qt.IsTrue, qt.Commentf("%d innocent requests held", innocent.held.Load()))
	})
}

// Guards against missing crashes of upstreams that look like lost answers.
func TestCrashesOfUpstreamsThatRestartAtOnceCount(t *testing.T) {
	for _, kind := range []struct {
		name               string
		away               time.Duration
		unnamed, forwarded bool
	}{
		{"back at once", time.Nanosecond, false, false},
		{"unnamed", restartTime, true, false},
		{"forwarded", restartTime, false, true},
		{"forwarded and unnamed", restartTime, true, true},
	} {
		t.Run(kind.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				m := f.newCrashingUpstreams()
				m.away = kind.away
				m.unnamed.Store(kind.unnamed)
				m.forwarded = kind.forwarded
				m.start(3)
				culprit := m.call(700*time.Millisecond, samePath(fatalWrite))
				time.Sleep(time.Minute)
				culprit.stop()
				f.c.Check(m.crashCount() == 2 || m.crashCount() == 3, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
			})
		})
	}
}

// Guards against blaming only requests whose callers still wait: an upstream continues
// to run a request whose caller has given up, and crashes under it.
func TestRequestThatWasGivenUpIsBlamed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.newCrashingUpstreams()
		m.lasting = runTime / 2
		m.start(3)
		innocent := m.call(innocentPace, distinctPath)
		for i := range 60 {
			f.askRouted(m.nodes[i%3], fatalWrite, strconv.Itoa(i), "X-Timeout", "20")
			time.Sleep(time.Second)
		}
		innocent.stop()
		f.c.Check(m.crashCount() == 2 || m.crashCount() == 3, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
	})
}

// untilQuarantined sends the fatal read until three upstreams have crashed under it.
func (m *crashingUpstreams) untilQuarantined() {
	for range 100 {
		if m.crashCount() >= 3 {
			m.settle()
			return
		}
		m.askRouted(m.nodes[0], fatalPath, "x")
		time.Sleep(time.Second)
	}
	m.c.Fatalf("%d upstreams crashed", m.crashCount())
}

// Guards against identifying the cause again, which would crash three more upstreams,
// after the nodes were restarted.
func TestQuarantinedRequestIsKnownAfterARestart(t *testing.T) {
	for _, all := range []bool{true, false} {
		t.Run(fmt.Sprintf("all=%v", all), func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				m := f.addCrashingUpstreams(3)
				m.untilQuarantined()
				old := m.nodes
				if all {
					for name, n := range f.nodes {
						n.Close()
						delete(f.nodes, name)
					}
					m.nodes, f.peers = nil, nil
				}
				for i := range 3 {
					m.nodes = append(m.nodes, m.addCrashingUpstream("new-"+strconv.Itoa(i)))
				}
				f.settle()
				if !all {
					for _, n := range old {
						n.Close()
					}
					f.settle()
				}
				fresh := m.nodes[len(m.nodes)-1]
				for i := range 10 {
					got := f.askRouted(fresh, fatalPath, "again-"+strconv.Itoa(i))
					f.c.Check(got.reason, qt.Equals, "held")
				}
				f.c.Check(m.crashCount(), qt.Equals, 3)
			})
		})
	}
}

// Guards against a request that stays quarantined after its upstreams are fixed, and
// against trying it at all of them at once.
func TestFixedUpstreamsGetTheRequestAgain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(3)
		m.untilQuarantined()
		m.healed.Store(true)
		before := m.arrivalCount(fatalPath)
		time.Sleep(quarantine.HoldTime(3))
		f.c.Check(f.askRouted(m.nodes[1], fatalPath, "trial").status, qt.Equals, 200)
		f.c.Check(m.arrivalCount(fatalPath), qt.Equals, before+1)
		time.Sleep(time.Second)
		for i, n := range m.nodes {
			f.c.Check(f.askRouted(n, fatalPath, "after-"+strconv.Itoa(i)).status, qt.Equals, 200)
		}
	})
}

// Guards against a quarantined request that an operator can't release.
func TestOperatorClearsAQuarantinedRequest(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(3)
		m.untilQuarantined()
		m.healed.Store(true)
		held := m.nodes[0].HeldRequests(false)
		f.c.Assert(held, qt.HasLen, 1)
		f.c.Check(held[0].Ends, qt.Equals, 3)
		fingerprint, err := quarantine.ParseFingerprint(held[0].Fingerprint)
		f.c.Assert(err, qt.IsNil)
		f.c.Check(m.nodes[2].ClearHeld(fingerprint), qt.IsTrue)
		f.c.Check(m.nodes[2].ClearHeld(fingerprint+1), qt.IsFalse)
		time.Sleep(time.Second)
		for i, n := range m.nodes {
			f.c.Check(f.askRouted(n, fatalPath, strconv.Itoa(i)).status, qt.Equals, 200)
		}
	})
}

// Guards against records that are not exchanged after a network partition heals: each
// side identifies the cause by itself, and neither loses further upstreams to it
// afterwards.
func TestBothPartitionSidesQuarantineTheRequest(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(6)
		cut := func(change func(a, b string)) {
			for a := range 3 {
				for b := 3; b < 6; b++ {
					change("desk-"+strconv.Itoa(a), "desk-"+strconv.Itoa(b))
					change("desk-"+strconv.Itoa(b), "desk-"+strconv.Itoa(a))
				}
			}
		}
		cut(f.net.Cut)
		culprit := m.call(700*time.Millisecond, samePath(fatalPath))
		time.Sleep(40 * time.Second)
		f.c.Check(m.crashCount() <= 6, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
		cut(f.net.Heal)
		time.Sleep(10 * time.Second)
		before := m.crashCount()
		time.Sleep(time.Minute)
		culprit.stop()
		f.c.Check(m.crashCount(), qt.Equals, before)
	})
}

// Guards against clearing a request after an error response: the upstream may fail
// before it reaches the code that crashes it.
func TestErrorDoesNotClearARequest(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.newCrashingUpstreams()
		m.failEvery = 2
		m.start(3)
		culprit := m.call(700*time.Millisecond, samePath(fatalPath))
		time.Sleep(2 * time.Minute)
		culprit.stop()
		f.c.Check(m.crashCount() <= 3, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
		f.c.Check(m.arrivalsAfter(fatalPath, 3, 3*time.Second) <= 3, qt.IsTrue)
	})
}

// Guards against identifying the cause again, which would crash upstreams of another
// service, when operators route the request to that service.
func TestRequestIsQuarantinedAtOtherServices(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(3)
		m.untilQuarantined()
		other := f.addRouted("other", "portal", 10, echo)
		moved, err := config.Parse([]byte(strings.NewReplacer("version: 1", "version: 2", "service: desk", "service: portal").Replace(routedSet)), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(other.OfferConfig(moved), qt.IsNil)
		f.settle()
		f.c.Check(f.askRouted(m.nodes[0], "/browse/1", "a").status, qt.Equals, 200)
		f.c.Check(f.runs.of("portal", ""), qt.Equals, 1)
		f.c.Check(f.askRouted(m.nodes[0], fatalPath, "b").reason, qt.Equals, "held")
		f.c.Check(f.runs.of("portal", ""), qt.Equals, 1)
	})
}

// Guards against forgetting a request that is quarantined for seconds only while all
// nodes restart one after another: each new node learns of it from the running ones.
func TestQuarantineSurvivesARollingRestart(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(3)
		for range 2 {
			f.askRouted(m.nodes[0], fatalPath, "a")
			time.Sleep(restartTime)
		}
		f.c.Check(m.crashCount(), qt.Equals, 2)
		for i, n := range m.nodes {
			time.Sleep(time.Second)
			m.nodes[i] = m.addCrashingUpstream("new-" + strconv.Itoa(i))
			time.Sleep(time.Second)
			n.Close()
		}
		f.c.Check(f.askRouted(m.nodes[2], fatalPath, "b").reason, qt.Equals, "held")
		f.c.Check(m.crashCount(), qt.Equals, 2)
	})
}
