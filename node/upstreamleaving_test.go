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
)

// leavingBound is how long after a node passed on an upstream's statement that it leaves
// the node's requests may still be sent to it.
const leavingBound = 2 * time.Second

// leavingUpstream states from a moment on that it leaves, and counts the requests that
// reach it although the node where they began has long passed that on.
type leavingUpstream struct {
	mu      sync.Mutex
	leaving bool
	told    map[string]time.Time
	late    int
}

func (u *leavingUpstream) serve(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
	parts := strings.Split(r.Header.Get("X-Id"), "-")
	nanos, _ := strconv.ParseInt(parts[len(parts)-1], 10, 64)
	u.mu.Lock()
	if told, heard := u.told[parts[0]]; heard && time.Unix(0, nanos).Sub(told) > leavingBound {
		u.late++
	}
	if u.leaving {
		w.Header().Set("X-Leaving", "1")
	}
	u.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	echo(w, r, call)
}

func (u *leavingUpstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

func (u *leavingUpstream) passedOn(origin string, r reply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.told[origin]; !known && r.header.Get("X-Leaving") != "" {
		u.told[origin] = time.Now()
	}
}

// Guards against requests to an upstream that has stated in its responses that it leaves:
// also as the last one left, while its announcements still say that it is ready, and after a
// restart of its node.
func TestNoRequestsReachAnUpstreamThatStatedItsDeparture(t *testing.T) {
	for name, test := range map[string]struct {
		others  int
		restart bool
	}{
		"others are left":                    {others: 1},
		"it is the last one":                 {},
		"its node restarts":                  {others: 1, restart: true},
		"it is the last one, which restarts": {restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				leaving := &leavingUpstream{told: make(map[string]time.Time)}
				l := &limitedFleet{fleet: f, callers: make(map[string]*Node), served: make(map[string]int), refused: make(map[string]int)}
				l.judges = []passedOnJudge{leaving}
				beside := f.addRouted("desk0", "desk", 40, leaving.serve, fixedPorts)
				a := beside.upstream.Load().Announcement
				a.Instance = "one"
				f.c.Assert(beside.Announce(a), qt.IsNil)
				f.announceAgain(beside)
				for i := range test.others {
					f.addRouted(fmt.Sprintf("desk%d", i+1), "desk", 40, echo)
				}
				for _, name := range []string{"a", "b"} {
					l.callers[name] = f.addRouted(name, "front-"+name, 40, echo)
				}
				f.settle()
				l.send("/browse/x", 40, 12*time.Second)
				time.Sleep(2 * time.Second)
				leaving.leave()
				if test.restart {
					time.Sleep(1500 * time.Millisecond)
					l.restartBesideUpstream(0)
				}
				l.sending.Wait()
				f.c.Check(len(leaving.told) > 0, qt.IsTrue)
				f.c.Check(leaving.late, qt.Equals, 0)
				if test.others > 0 {
					f.c.Check(l.refused["/browse/x"]*50 <= l.served["/browse/x"], qt.IsTrue, qt.Commentf("%d refused, %d served", l.refused["/browse/x"], l.served["/browse/x"]))
				}
			})
		})
	}
}

// Guards against a departure that outlives its incarnation: the next one at the address gets
// requests again.
func TestNextIncarnationGetsRequestsAfterAStatedDeparture(t *testing.T) {
	inFleet(t, func(f *fleet) {
		leaving := &leavingUpstream{told: make(map[string]time.Time), leaving: true}
		beside := f.addRouted("desk0", "desk", 40, leaving.serve, fixedPorts)
		a := beside.upstream.Load().Announcement
		a.Instance, a.Sequence = "one", 1
		f.c.Assert(beside.Announce(a), qt.IsNil)
		caller := f.addRouted("a", "front-a", 40, echo)
		f.settle()
		f.c.Assert(f.askRouted(caller, "/browse/x", "a-0").status, qt.Equals, http.StatusOK)
		time.Sleep(3 * time.Second)
		a.Sequence++
		f.c.Assert(beside.Announce(a), qt.IsNil)
		f.c.Check(f.askRouted(beside, "/browse/x", "desk0-1").status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(f.askRouted(caller, "/browse/x", "a-1").status, qt.Equals, http.StatusServiceUnavailable)
		leaving.mu.Lock()
		leaving.leaving = false
		leaving.mu.Unlock()
		a.Instance, a.Sequence = "two", 1
		f.c.Assert(beside.Announce(a), qt.IsNil)
		time.Sleep(time.Second)
		f.c.Check(f.askRouted(caller, "/browse/x", "a-2").status, qt.Equals, http.StatusOK)
		f.c.Check(caller.heardNotices.known.Load(), qt.Equals, int64(0))
	})
}

// Guards against a departure that is forgotten with a response from before it, and against
// one that calls state before the others know of it.
func TestHeardDepartureIsStatedOnceItHasSpread(t *testing.T) {
	c := qt.New(t)
	h := newHeardNotices()
	now := time.Unix(1000, 0)
	none := call.UpstreamNotice{}
	leaving := call.UpstreamNotice{Instance: "i-1", Leaving: true}
	h.record("one", none, call.Report{Outcome: call.Complete, Upstream: leaving}, now)
	c.Check(h.forCall("one", now), qt.Equals, none)
	h.record("one", none, call.Report{Outcome: call.Complete}, now)
	h.record("one", none, call.Report{Outcome: call.Complete, Upstream: leaving}, now.Add(drainSpreadTime/2))
	now = now.Add(drainSpreadTime)
	c.Check(h.forCall("one", now), qt.Equals, leaving)
	h.record("one", leaving, call.Report{Outcome: call.NotRun, Reason: call.ReasonDraining}, now.Add(heardNoticeTTL))
	c.Check(h.forCall("one", now.Add(heardNoticeTTL+time.Second)), qt.Equals, leaving)
	h.record("one", leaving, call.Report{Outcome: call.Complete}, now)
	c.Check(h.forCall("one", now), qt.Equals, none)
}
