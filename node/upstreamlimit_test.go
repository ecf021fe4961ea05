package node

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

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
