package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/incarnation"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// namedUpstream is an upstream that may restart as another incarnation. It rejects calls
// that name another one, and counts the calls that each incarnation runs.
type namedUpstream struct {
	mu       sync.Mutex
	instance string
	runs     map[string]int
	lastRun  map[string]time.Time
}

func newNamedUpstream(instance string) *namedUpstream {
	return &namedUpstream{instance: instance, runs: make(map[string]int), lastRun: make(map[string]time.Time)}
}

func (u *namedUpstream) serve(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Header.Get("X-Instance") != u.instance {
		w.Header().Set("X-Echo", r.Header.Get("X-Id"))
		w.Header().Set("X-Instance", u.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.runs[u.instance]++
	u.lastRun[u.instance] = time.Now()
	echo(w, r, call)
}

func (u *namedUpstream) become(instance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instance = instance
}

func (u *namedUpstream) runsOf(instance string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[instance]
}

// lastRunAfter returns how long after a time an incarnation ran its last call.
func (u *namedUpstream) lastRunAfter(instance string, since time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastRun[instance].Sub(since)
}

// announceAs announces the upstream of n as an incarnation.
func (f *fleet) announceAs(n *Node, base Announcement, instance string, born int64, sequence uint64) {
	base.Instance, base.Born, base.Sequence = instance, born, sequence
	f.c.Assert(n.Announce(base), qt.IsNil)
}

// askFor sends requests to the node for a time, one each 50 ms.
func (f *fleet) askFor(n *Node, during time.Duration) {
	const pause = 50 * time.Millisecond
	for i := range int(during / pause) {
		f.askRouted(n, "/browse/x", "during-"+strconv.Itoa(i))
		time.Sleep(pause)
	}
}

// startAgain starts the next process of a node that has ended, at the same addresses.
func (f *fleet) startAgain(name string) *Node {
	n, err := New(f.nodes[name].settings)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(n.Start(f.t.Context()), qt.IsNil)
	f.nodes[name] = n
	set, err := config.Parse([]byte(routedSet), config.YAML)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(n.OfferConfig(set), qt.IsNil)
	return n
}

// Guards against requests to an upstream whose leave was acknowledged by an earlier process of
// its node: a heartbeat from before the leave reaches the next process.
func TestDepartureOutlivesItsProcess(t *testing.T) {
	for name, end := range map[string]func(f *fleet, n *Node){
		"killed after the leave": func(f *fleet, n *Node) {
			f.c.Check(n.Leaving("i-1", 0), qt.IsNil)
			n.Close()
		},
		"killed after a draining heartbeat": func(f *fleet, n *Node) {
			a := n.upstream.Load().Announcement
			a.Draining = true
			f.announceAs(n, a, "i-1", 0, 6)
			n.Close()
		},
		"told to exit before the leave": func(f *fleet, n *Node) {
			ended := make(chan error, 1)
			go func() { ended <- n.Drain(f.t.Context()) }()
			time.Sleep(1500 * time.Millisecond)
			f.c.Check(n.Leaving("i-1", 0), qt.IsNil)
			f.c.Check(<-ended, qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				up := newNamedUpstream("i-1")
				n := f.addRouted("vm", "desk", 10, up.serve, fixedPorts)
				a := n.upstream.Load().Announcement
				f.announceAs(n, a, "i-1", 0, 5)
				f.settle()
				f.c.Check(f.askRouted(n, "/browse/x", "before").status, qt.Equals, http.StatusOK)
				end(f, n)
				next := f.startAgain("vm")
				time.Sleep(time.Second)
				f.announceAs(next, a, "i-1", 0, 4)
				f.askFor(next, 6*time.Second)
				f.c.Check(up.runsOf("i-1"), qt.Equals, 1)
				up.become("i-2")
				f.announceAs(next, a, "i-2", 0, 1)
				f.settle()
				f.c.Check(f.askRouted(next, "/browse/x", "next").status, qt.Equals, http.StatusOK, qt.Commentf("the next incarnation"))
			})
		})
	}
}

// Guards against a drain that a message about another incarnation of the upstream cancels.
func TestOnlyTheSameIncarnationEndsItsDrain(t *testing.T) {
	for name, message := range map[string]func(f *fleet, n *Node, a Announcement){
		"late heartbeat of a crashed incarnation": func(f *fleet, n *Node, a Announcement) {
			f.announceAs(n, a, "crashed", 1000, 8)
		},
		"late heartbeat of an unknown incarnation": func(f *fleet, n *Node, a Announcement) {
			f.announceAs(n, a, "unknown", 1000, 8)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				up := newNamedUpstream("crashed")
				n := f.addRouted("vm", "desk", 10, up.serve)
				a := n.upstream.Load().Announcement
				f.announceAs(n, a, "crashed", 1000, 7)
				f.settle()
				up.become("left")
				f.announceAs(n, a, "left", 2000, 1)
				f.c.Check(f.askRouted(n, "/browse/x", "before").status, qt.Equals, http.StatusOK)
				f.c.Check(n.Leaving("left", 2000), qt.IsNil)
				left := time.Now()
				time.Sleep(700 * time.Millisecond)
				message(f, n, a)
				f.askFor(n, 8*time.Second)
				last := up.lastRunAfter("left", left)
				f.c.Check(last <= maxDrainTime, qt.IsTrue, qt.Commentf("a call reached the upstream %s after its leave", last))
				f.c.Check(n.metrics.CallsAfterDeparture.Count(), qt.Equals, int64(0))
			})
		})
	}
}

// Guards against a leave that is acknowledged and then ignored, because the upstream's start
// seems to precede that of the incarnation in use.
func TestLeaveOfASeeminglyEarlierStartBinds(t *testing.T) {
	inFleet(t, func(f *fleet) {
		up := newNamedUpstream("i")
		n := f.addRouted("vm", "desk", 10, up.serve)
		a := n.upstream.Load().Announcement
		f.announceAs(n, a, "i", 9000, 7)
		f.settle()
		// The clock of the VM is set back, and the upstream restarts.
		f.announceAs(n, a, "i", 5000, 1)
		f.c.Check(n.Leaving("i", 5000), qt.IsNil)
		time.Sleep(maxDrainTime)
		f.askFor(n, 4*time.Second)
		f.c.Check(up.runsOf("i"), qt.Equals, 0)
	})
}

// Guards against requests that run at a server of another service which has been given the
// address of a crashed upstream, and whose id is known from its rejections only.
func TestUnannouncedIncarnationGetsNoRequests(t *testing.T) {
	inFleet(t, func(f *fleet) {
		up := newNamedUpstream("i-1")
		n := f.addRouted("vm", "desk", 10, up.serve)
		a := n.upstream.Load().Announcement
		f.announceAs(n, a, "i-1", 0, 5)
		f.settle()
		up.become("of-another-service")
		f.askFor(n, 3*time.Second)
		f.c.Check(up.runsOf("of-another-service"), qt.Equals, 0)
		up.become("i-2")
		f.announceAs(n, a, "i-2", 0, 1)
		f.settle()
		f.c.Check(f.askRouted(n, "/browse/x", "after").status, qt.Equals, http.StatusOK)
	})
}

// Guards against calls that wait in the queue of a draining node and reach the upstream later
// than it may get any.
func TestQueuedCallsDoNotOutlastTheDrain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var mu sync.Mutex
		var last time.Time
		n := f.addRouted("vm", "desk", 2, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			mu.Lock()
			last = time.Now()
			mu.Unlock()
			time.Sleep(400 * time.Millisecond)
			echo(w, r, call)
		})
		set, err := config.Parse([]byte(longWaitSet), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(n.OfferConfig(set), qt.IsNil)
		a := n.upstream.Load().Announcement
		f.announceAs(n, a, "i-1", 0, 5)
		f.settle()
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				f.askRouted(n, "/browse/x", strconv.Itoa(i))
			})
		}
		time.Sleep(1500 * time.Millisecond)
		f.c.Check(n.Leaving("i-1", 0), qt.IsNil)
		left := time.Now()
		callers.Wait()
		mu.Lock()
		defer mu.Unlock()
		f.c.Check(last.Sub(left) <= maxDrainTime, qt.IsTrue, qt.Commentf("a call reached the upstream %s after its leave", last.Sub(left)))
		f.c.Check(n.metrics.CallsAfterDeparture.Count(), qt.Equals, int64(0))
	})
}

// longWaitSet lets calls wait in the queue for as long as the gate allows.
const longWaitSet = `
version: 2
profiles:
  - {name: default, priority: 0}
  - {name: read, priority: 13, deadline: 10s, target: 8s, maxWait: 8s, credit: 1}
routes:
  - {name: browse, host: desk.example, pathPrefix: /browse/, profile: read, shares: [{service: desk, weight: 1}]}
`

// Guards against a departure that is acknowledged although the platform could not store it: the
// next process would not know of it.
func TestDepartureIsAcknowledgedOnceStored(t *testing.T) {
	inFleet(t, func(f *fleet) {
		platform := standin.NewMemory()
		f.store = platform
		up := newNamedUpstream("i-1")
		n := f.addRouted("vm", "desk", 10, up.serve)
		a := n.upstream.Load().Announcement
		f.announceAs(n, a, "i-1", 0, 5)
		f.settle()
		platform.SetFaults(standin.Faults{Down: true})
		reported := time.Now()
		f.c.Check(n.Leaving("i-1", 0), qt.ErrorAs, new(*DepartureUnstoredError))
		f.c.Check(time.Since(reported) <= storeWait, qt.IsTrue, qt.Commentf("answered after %s", time.Since(reported)))
		f.askFor(n, 3*time.Second)
		f.c.Check(up.lastRunAfter("i-1", reported) <= maxDrainTime, qt.IsTrue, qt.Commentf("the departure is in force"))
		f.c.Check(n.Leaving("i-1", 0), qt.ErrorAs, new(*DepartureUnstoredError))
		platform.SetFaults(standin.Faults{})
		f.c.Check(n.Leaving("i-1", 0), qt.IsNil)
	})
}

// Guards against an upstream that has left and comes back into use because the platform is down
// when its node starts again, and against one that is running and gets no calls for that.
func TestNodeStartsWhileThePlatformIsDown(t *testing.T) {
	for name, left := range map[string]bool{"the upstream has left": true, "the upstream is running": false} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				platform := standin.NewMemory()
				f.store = platform
				up := newNamedUpstream("i-1")
				n := f.addRouted("vm", "desk", 10, up.serve, fixedPorts)
				a := n.upstream.Load().Announcement
				f.announceAs(n, a, "i-1", 0, 5)
				f.settle()
				if left {
					f.c.Check(n.Leaving("i-1", 0), qt.IsNil)
				}
				n.Close()
				platform.SetFaults(standin.Faults{Down: true})
				next := f.startAgain("vm")
				heard := time.Now()
				f.announceAs(next, a, "i-1", 0, 3)
				f.c.Check(time.Since(heard) <= storeWait, qt.IsTrue, qt.Commentf("acknowledged after %s", time.Since(heard)))
				f.announceAs(next, a, "i-1", 0, 4)
				f.askFor(next, time.Second)
				f.c.Check(up.runsOf("i-1"), qt.Equals, 0, qt.Commentf("after two heartbeats that may be late"))
				if left {
					platform.SetFaults(standin.Faults{})
				}
				time.Sleep(incarnation.ReorderWindow)
				f.announceAs(next, a, "i-1", 0, 5)
				f.askFor(next, time.Second)
				f.c.Check(up.runsOf("i-1") == 0, qt.Equals, left, qt.Commentf("%d runs", up.runsOf("i-1")))
			})
		})
	}
}

// Guards against an alarm about calls to an upstream that has taken back that it leaves.
func TestCancelledDepartureRaisesNoAlarm(t *testing.T) {
	inFleet(t, func(f *fleet) {
		up := newNamedUpstream("i-1")
		n := f.addRouted("vm", "desk", 10, up.serve)
		a := n.upstream.Load().Announcement
		f.announceAs(n, a, "i-1", 0, 5)
		f.settle()
		a.Draining = true
		f.announceAs(n, a, "i-1", 0, 6)
		time.Sleep(time.Second)
		a.Draining = false
		f.announceAs(n, a, "i-1", 0, 7)
		time.Sleep(maxDrainTime)
		f.c.Check(f.askRouted(n, "/browse/x", "after").status, qt.Equals, http.StatusOK)
		f.c.Check(n.metrics.CallsAfterDeparture.Count(), qt.Equals, int64(0))
	})
}

// Guards against an operator's drain that a heartbeat cancels, and against an upstream's that an
// operator cancels.
func TestADrainIsEndedByItsOwnCauseOnly(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		a := n.upstream.Load().Announcement
		f.announceAs(n, a, "i-1", 0, 5)
		n.SetDraining(true)
		f.announceAs(n, a, "i-1", 0, 6)
		f.c.Check(n.draining.Load(), qt.IsTrue)
		f.c.Check(n.Leaving("i-1", 0), qt.IsNil)
		n.SetDraining(false)
		f.c.Check(n.draining.Load(), qt.IsTrue)
		f.announceAs(n, a, "i-2", 0, 1)
		f.c.Check(n.draining.Load(), qt.IsFalse)
	})
}

// departureReads counts the exact reads of departures.
type departureReads struct {
	*standin.Memory
	count atomic.Int64
}

func (s *departureReads) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if kind == incarnation.Kind {
		s.count.Add(1)
	}
	return s.Memory.Get(ctx, kind, name)
}

// Guards against exact reads of the platform that grow with the fleet at its first start, and
// against a start beside a running upstream that reads more than once.
func TestDeparturesAreReadOnceAndOnlyBesideARunningUpstream(t *testing.T) {
	inFleet(t, func(f *fleet) {
		reads := &departureReads{Memory: standin.NewMemory()}
		f.store = reads
		n := f.addRouted("vm", "desk", 10, echo, fixedPorts)
		f.settle()
		a := n.upstream.Load().Announcement
		for sequence := range uint64(5) {
			f.announceAs(n, a, "i-1", 0, sequence)
		}
		f.c.Check(reads.count.Load(), qt.Equals, int64(0))
		n.Close()
		next := f.startAgain("vm")
		for sequence := range uint64(5) {
			f.announceAs(next, a, "i-1", 0, 5+sequence)
		}
		f.c.Check(reads.count.Load(), qt.Equals, int64(1))
	})
}
