package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

const (
	// limitSettles is how long after the first naming of a limit it must hold, and
	// toldBefore how long a node must have passed on the limit for its requests to count.
	limitSettles = 3 * time.Second
	toldBefore   = 500 * time.Millisecond
)

// limitedUpstream names a limit in its answers and judges what it gets: within any
// slidingCountTime no more than limitTolerance times what the limit allows, and limitSlack
// more, counting the requests of all nodes that passed on the limit toldBefore ago.
type limitedUpstream struct {
	mu       sync.Mutex
	limit    float64
	namedAt  time.Time
	arrivals []limitedArrival
	told     map[string]time.Time
	// every is the share of the answers that name the limit: one in every.
	every, answers int
	work           time.Duration
}

type limitedArrival struct {
	at      time.Time
	origin  string
	counted bool
}

func newLimitedUpstream() *limitedUpstream {
	return &limitedUpstream{told: make(map[string]time.Time), every: 1, work: 20 * time.Millisecond}
}

// name sets the limit that the answers name from now on, none if it is negative.
func (u *limitedUpstream) name(limit float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.namedAt.IsZero() {
		u.namedAt = time.Now()
	}
	u.limit = limit
}

// serve is the handler of the upstream. The id of a request begins with the name of the
// node where it began.
func (u *limitedUpstream) serve(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
	origin, _, _ := strings.Cut(r.Header.Get("X-Id"), "-")
	u.mu.Lock()
	told, heard := u.told[origin]
	now := time.Now()
	u.arrivals = append(u.arrivals, limitedArrival{at: now, origin: origin, counted: heard && now.Sub(told) >= toldBefore})
	u.answers++
	if !u.namedAt.IsZero() && u.limit >= 0 && u.answers%u.every == 0 {
		w.Header().Set("X-Limit", strconv.FormatFloat(u.limit, 'f', -1, 64))
	}
	u.mu.Unlock()
	time.Sleep(u.work)
	echo(w, r, call)
}

// passedOn records that a node has passed on an answer.
func (u *limitedUpstream) passedOn(origin string, r reply) {
	if r.header.Get("X-Limit") == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.told[origin]; !known {
		u.told[origin] = time.Now()
	}
}

// excuse stops counting the requests of a node until it passes on the limit again.
func (u *limitedUpstream) excuse(origin string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.told, origin)
}

// mostInWindow returns the highest number of counted arrivals within slidingCountTime,
// among the windows that end once the limit must hold.
func (u *limitedUpstream) mostInWindow() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most, first, counted := 0, 0, 0
	for i, a := range u.arrivals {
		if a.counted {
			counted++
		}
		for ; a.at.Sub(u.arrivals[first].at) >= slidingCountTime; first++ {
			if u.arrivals[first].counted {
				counted--
			}
		}
		if u.arrivals[i].at.Sub(u.namedAt) >= limitSettles {
			most = max(most, counted)
		}
	}
	return most
}

// between returns how many requests arrived from one time to another.
func (u *limitedUpstream) between(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, a := range u.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// allowed returns the highest number of requests within slidingCountTime at a limit.
func allowed(limit float64) int {
	return int(limitTolerance*limit*slidingCountTime.Seconds() + limitSlack)
}

// passedOnJudge learns which responses a node has passed on.
type passedOnJudge interface {
	passedOn(origin string, r reply)
}

// limitedFleet has nodes whose callers send requests to the upstreams of one service.
type limitedFleet struct {
	*fleet
	callers map[string]*Node
	limited []*limitedUpstream
	judges  []passedOnJudge
	sending sync.WaitGroup
	mu      sync.Mutex
	served  map[string]int
	refused map[string]int
}

// newLimitedFleet starts one node for each upstream and, for each name in callers, one
// whose callers send requests.
func newLimitedFleet(f *fleet, upstreams int, callers ...string) *limitedFleet {
	l := &limitedFleet{fleet: f, callers: make(map[string]*Node), served: make(map[string]int), refused: make(map[string]int)}
	for i := range upstreams {
		judge := newLimitedUpstream()
		l.limited = append(l.limited, judge)
		l.judges = append(l.judges, judge)
		n := f.addRouted(fmt.Sprintf("desk%d", i), "desk", 40, judge.serve, fixedPorts)
		a := n.upstream.Load().Announcement
		a.Instance, a.Sequence = fmt.Sprintf("i-%d", i), 1
		f.c.Assert(n.Announce(a), qt.IsNil)
	}
	for _, name := range callers {
		l.callers[name] = f.addRouted(name, "front-"+name, 40, echo)
	}
	f.settle()
	return l
}

// fixedPorts lets a restarted node have the addresses of the one before.
func fixedPorts(s *Settings) { s.Gossip, s.Peer, s.Outbound = "x:7001", "x:7002", "x:7003" }

// restartBesideUpstream kills the node beside an upstream that keeps running, and starts it
// again at the same addresses.
func (l *limitedFleet) restartBesideUpstream(i int) {
	name := fmt.Sprintf("desk%d", i)
	old := l.nodes[name]
	a := old.upstream.Load().Announcement
	old.Close()
	settings := old.settings
	settings.Peers = l.peers
	n, err := New(settings)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(n.Start(l.t.Context()), qt.IsNil)
	l.nodes[name] = n
	set, err := config.Parse([]byte(routedSet), config.YAML)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(n.OfferConfig(set), qt.IsNil)
	l.c.Assert(n.Announce(a), qt.IsNil)
}

// send lets the callers of each node send requests of one path at a steady rate.
func (l *limitedFleet) send(path string, perSecond int, during time.Duration) {
	for name := range l.callers {
		l.sending.Go(func() { l.sendFrom(name, path, perSecond, during) })
	}
}

func (l *limitedFleet) sendFrom(name, path string, perSecond int, during time.Duration) {
	pause := time.Second / time.Duration(perSecond)
	for i := range int(during / pause) {
		l.sending.Go(func() { l.sendOne(name, path, i) })
		time.Sleep(pause)
	}
}

func (l *limitedFleet) sendOne(name, path string, i int) {
	l.mu.Lock()
	to := l.callers[name]
	l.mu.Unlock()
	if to == nil {
		return
	}
	r := l.askRouted(to, path, fmt.Sprintf("%s-%s%d-%d", name, strings.Trim(path, "/"), i, time.Now().UnixNano()), "X-Timeout", "2000")
	for _, judge := range l.judges {
		judge.passedOn(name, r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.status == http.StatusOK {
		l.served[path]++
	} else {
		l.refused[path]++
	}
}

// Guards against an upstream that gets more requests than the limit that it names, because
// each node alone stays below it or none reads it.
func TestLimitOfAnUpstreamHoldsOverAllNodes(t *testing.T) {
	inFleet(t, func(f *fleet) {
		l := newLimitedFleet(f, 1, "a", "b", "c")
		judge := l.limited[0]
		l.send("/browse/x", 60, 12*time.Second)
		time.Sleep(3 * time.Second)
		judge.name(20)
		l.sending.Wait()
		f.c.Check(judge.mostInWindow() <= allowed(20), qt.IsTrue, qt.Commentf("%d requests in a window, allowed %d", judge.mostInWindow(), allowed(20)))
	})
}

// Guards against the requests of a restarted node: it knows nothing of its upstream's limit,
// while the nodes that send to it do.
func TestLimitOfAnUpstreamOutlivesARestartOfItsNode(t *testing.T) {
	inFleet(t, func(f *fleet) {
		l := newLimitedFleet(f, 1, "a", "b", "c")
		judge := l.limited[0]
		// Responses come late, so that those to calls do not tell the limit in time.
		judge.work = 400 * time.Millisecond
		l.send("/browse/x", 60, 14*time.Second)
		time.Sleep(2 * time.Second)
		judge.name(20)
		for range 3 {
			time.Sleep(3500 * time.Millisecond)
			l.restartBesideUpstream(0)
		}
		l.sending.Wait()
		f.c.Check(judge.mostInWindow() <= allowed(20), qt.IsTrue, qt.Commentf("%d requests in a window, allowed %d", judge.mostInWindow(), allowed(20)))
		f.c.Check(l.served["/browse/x"] > 100, qt.IsTrue, qt.Commentf("%d served", l.served["/browse/x"]))
	})
}

// Guards against a limit that is dropped at the first response without it, and against one
// that never ends.
func TestLimitNamedInSomeResponsesHoldsAndEnds(t *testing.T) {
	inFleet(t, func(f *fleet) {
		l := newLimitedFleet(f, 1, "a", "b")
		judge := l.limited[0]
		judge.every = 2
		l.send("/browse/x", 60, 16*time.Second)
		time.Sleep(2 * time.Second)
		judge.name(20)
		time.Sleep(8 * time.Second)
		f.c.Check(judge.mostInWindow() <= allowed(20), qt.IsTrue, qt.Commentf("%d requests in a window, allowed %d", judge.mostInWindow(), allowed(20)))
		judge.name(-1)
		time.Sleep(3 * time.Second)
		before := time.Now()
		time.Sleep(2 * time.Second)
		f.c.Check(judge.between(before, time.Now()) > 180, qt.IsTrue, qt.Commentf("%d requests in 2 s", judge.between(before, time.Now())))
		l.sending.Wait()
	})
}

// Guards against a limit of 0 that ends all requests, so that no response tells of its end.
func TestLimitOfZeroStillLearnsOfItsEnd(t *testing.T) {
	inFleet(t, func(f *fleet) {
		l := newLimitedFleet(f, 1, "a", "b")
		judge := l.limited[0]
		l.send("/browse/x", 40, 30*time.Second)
		time.Sleep(2 * time.Second)
		judge.name(0)
		time.Sleep(10 * time.Second)
		f.c.Check(judge.mostInWindow() <= allowed(0), qt.IsTrue, qt.Commentf("%d requests in a window, allowed %d", judge.mostInWindow(), allowed(0)))
		judge.name(-1)
		time.Sleep(12 * time.Second)
		before := time.Now()
		time.Sleep(2 * time.Second)
		f.c.Check(judge.between(before, time.Now()) > 120, qt.IsTrue, qt.Commentf("%d requests in 2 s", judge.between(before, time.Now())))
		l.sending.Wait()
	})
}

// Guards against requests that fail at a limited upstream while others of the service have
// room, and against a limited one that gets nothing.
func TestOtherUpstreamsTakeWhatIsOverALimit(t *testing.T) {
	inFleet(t, func(f *fleet) {
		l := newLimitedFleet(f, 3, "a", "b", "c")
		l.send("/browse/x", 50, 16*time.Second)
		time.Sleep(2 * time.Second)
		l.limited[0].name(20)
		l.limited[1].name(15)
		time.Sleep(4 * time.Second)
		before := time.Now()
		time.Sleep(8 * time.Second)
		f.c.Check(l.limited[0].between(before, time.Now()) > 8*10, qt.IsTrue, qt.Commentf("%d requests", l.limited[0].between(before, time.Now())))
		l.sending.Wait()
		for i, limit := range []float64{20, 15} {
			f.c.Check(l.limited[i].mostInWindow() <= allowed(limit), qt.IsTrue, qt.Commentf("%d requests in a window", l.limited[i].mostInWindow()))
		}
		f.c.Check(l.refused["/browse/x"]*50 <= l.served["/browse/x"], qt.IsTrue, qt.Commentf("%d refused, %d served", l.refused["/browse/x"], l.served["/browse/x"]))
	})
}

// Guards against unimportant requests that take the places of important ones when all
// upstreams of a service name limits.
func TestImportantRequestsKeepTheirPlacesUnderLimits(t *testing.T) {
	inFleet(t, func(f *fleet) {
		l := newLimitedFleet(f, 2, "a", "b", "c")
		for _, judge := range l.limited {
			judge.name(20)
		}
		l.send("/browse/x", 40, 14*time.Second)
		l.send("/file/x", 8, 14*time.Second)
		l.sending.Wait()
		for _, judge := range l.limited {
			f.c.Check(judge.mostInWindow() <= allowed(20), qt.IsTrue, qt.Commentf("%d requests in a window", judge.mostInWindow()))
		}
		filed := float64(l.served["/file/x"]) / float64(l.served["/file/x"]+l.refused["/file/x"])
		f.c.Check(filed > 0.9, qt.IsTrue, qt.Commentf("%d filed, %d refused", l.served["/file/x"], l.refused["/file/x"]))
		f.c.Check(l.served["/browse/x"] > 50, qt.IsTrue, qt.Commentf("%d read", l.served["/browse/x"]))
	})
}

// Guards against a limit that is taken from a late response of an earlier incarnation, or
// stays when another incarnation takes the place.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("desk0", "desk", 40, echo)
		a := n.upstream.Load().Announcement
		a.Instance, a.Sequence = "i-1", 1
		f.c.Assert(n.Announce(a), qt.IsNil)
		first := n.upstream.Load()
		limit := UpstreamAnswer{Notice: call.UpstreamNotice{Limit: 3, Limited: true}}
		n.recordNotice(first, limit)
		f.c.Check(n.namedLimit(), qt.Equals, 3.0)
		a.Instance = "i-2"
		f.c.Assert(n.Announce(a), qt.IsNil)
		f.c.Check(n.namedLimit(), qt.Equals, 0.0)
		limit.Notice.Limit = 2
		n.recordNotice(first, limit)
		n.adoptNotice(n.upstream.Load(), call.UpstreamNotice{Instance: "i-1", Limit: 3, Limited: true})
		f.c.Check(n.namedLimit(), qt.Equals, 0.0)
		start := time.Now()
		for range 30 {
			f.c.Check(f.askRouted(n, "/browse/x", "i").status, qt.Equals, http.StatusOK)
		}
		f.c.Check(time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("30 requests took %v", time.Since(start)))
	})
}

func TestLimitStateFollowsTheResponses(t *testing.T) {
	type step struct {
		after  time.Duration
		limit  float64
		named  bool
		heard  bool // the limit comes from another node
		change bool
		want   float64
	}
	for name, steps := range map[string][]step{
		"ends after several responses without it": {
			{limit: 5, named: true, change: true, want: 5}, {after: limitEndTime, want: 5}, {want: 5}, {change: true},
		},
		"does not end while responses name it": {
			{limit: 5, named: true, change: true, want: 5}, {after: limitEndTime, want: 5}, {want: 5}, {limit: 5, named: true, want: 5}, {after: limitEndTime, want: 5}, {want: 5},
		},
		"does not end within a moment": {
			{limit: 5, named: true, change: true, want: 5}, {want: 5}, {want: 5}, {want: 5}, {want: 5},
		},
		"changes": {{limit: 5, named: true, change: true, want: 5}, {limit: 4, named: true, change: true, want: 4}},
		"is adopted before the first response": {
			{limit: 5, heard: true, change: true, want: 5}, {limit: 6, named: true, change: true, want: 6}, {limit: 5, heard: true, want: 6},
		},
		"is not adopted after a response without it": {{}, {limit: 5, heard: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s limitState
			now := time.Unix(1000, 0)
			for i, one := range steps {
				now = now.Add(one.after)
				var changed bool
				if one.heard {
					changed = s.adopt(one.limit, now)
				} else {
					changed = s.observe(one.limit, one.named, now)
				}
				c.Check(changed, qt.Equals, one.change, qt.Commentf("step %d", i))
				c.Check(s.limit, qt.Equals, one.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// Guards against a refusal that clears what the upstream stated, and against notices that
// are remembered for ever.
func TestHeardNoticesEndWithTheUpstreamsOwnResponses(t *testing.T) {
	c := qt.New(t)
	h := newHeardNotices()
	now := time.Unix(1000, 0)
	limited := call.UpstreamNotice{Instance: "i-1", Limit: 5, Limited: true}
	h.record("one", call.UpstreamNotice{}, call.Report{Outcome: call.Complete, Upstream: limited}, now)
	c.Check(h.forCall("one", now), qt.Equals, limited)
	c.Check(h.forCall("two", now), qt.Equals, call.UpstreamNotice{})
	h.record("one", limited, call.Report{Outcome: call.NotRun}, now)
	h.record("one", limited, call.Report{Outcome: call.Unknown}, now)
	c.Check(h.forCall("one", now), qt.Equals, limited)
	h.record("one", limited, call.Report{Outcome: call.Complete}, now)
	c.Check(h.forCall("one", now), qt.Equals, call.UpstreamNotice{})
	h.record("one", limited, call.Report{Outcome: call.Complete, Upstream: limited}, now)
	c.Check(h.forCall("one", now.Add(heardNoticeTTL+1)), qt.Equals, call.UpstreamNotice{})
	c.Check(h.known.Load(), qt.Equals, int64(0))
}

// Guards against a departure, or a limit in force, that is lost with a limit that can't be
// read.
func TestMalformedLimitChangesNothingElse(t *testing.T) {
	c := qt.New(t)
	var s noticeState
	now := time.Unix(1000, 0)
	s.record("i-1", UpstreamAnswer{Notice: call.UpstreamNotice{Limit: 5, Limited: true}}, now)
	for range 2 * limitEndResponses {
		now = now.Add(time.Second)
		limitChanged, leaves := s.record("i-1", UpstreamAnswer{MalformedNotice: true}, now)
		c.Check([]bool{limitChanged, leaves}, qt.DeepEquals, []bool{false, false})
	}
	_, leaves := s.record("i-1", UpstreamAnswer{Notice: call.UpstreamNotice{Leaving: true}, MalformedNotice: true}, now)
	c.Check(leaves, qt.IsTrue)
	c.Check(s.notice(), qt.Equals, call.UpstreamNotice{Instance: "i-1", Limit: 5, Limited: true, Leaving: true})
}
