package node

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// lostRuns counts the runs that ended without an answer, by reason.
func lostRuns(n *Node) map[call.Reason]int {
	reasons := make(map[call.Reason]int)
	for _, hop := range n.ring.Recent(observe.Filter{}, 1000) {
		if hop.Kind == observe.Inbound && hop.Outcome == call.Unknown {
			reasons[hop.Reason]++
		}
	}
	return reasons
}

// Guards against mistaking a lost answer for a crash of the upstream, or the reverse.
func TestCrashIsDistinguishedFromALostAnswer(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(1)
		f.askRouted(m.nodes[0], "/file/"+fatalPart, "a")
		f.c.Check(m.crashCount(), qt.Equals, 1)
		f.c.Check(lostRuns(m.nodes[0]), qt.DeepEquals, map[call.Reason]int{call.ReasonUpstreamCrashed: 1})
		f.c.Check(m.nodes[0].metrics.UpstreamsEnded.Count(), qt.Equals, int64(1))
	})
	inFleet(t, func(f *fleet) {
		n := f.addRouted("losing", "desk", 10, func(http.ResponseWriter, *http.Request, func(string, string, string) (*http.Response, error)) {
			panic(http.ErrAbortHandler)
		})
		f.settle()
		f.askRouted(n, "/file/x", "a")
		f.c.Check(lostRuns(n), qt.DeepEquals, map[call.Reason]int{call.ReasonLost: 1})
		f.c.Check(n.metrics.UpstreamsEnded.Count(), qt.Equals, int64(0))
	})
}

// Guards against a crash that is missed because the upstream restarts at once and rejects calls as
// another incarnation before it announces itself.
func TestCrashIsNoticedAfterARejectionByTheNextIncarnation(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, func(http.ResponseWriter, *http.Request, func(string, string, string) (*http.Response, error)) {
			panic(http.ErrAbortHandler)
		})
		a := n.upstream.Load().Announcement
		f.announceAs(n, a, "i-1", 0, 5)
		f.settle()
		f.askRouted(n, "/file/x", "a")
		n.adoptInstance(n.upstream.Load(), "i-2")
		f.c.Check(n.draining.Load(), qt.IsTrue)
		f.announceAs(n, a, "i-2", 0, 1)
		f.c.Check(n.draining.Load(), qt.IsFalse)
		f.c.Check(n.metrics.UpstreamsEnded.Count(), qt.Equals, int64(1))
	})
}

// Guards against blaming requests for the end of an upstream that announced its
// shutdown.
func TestUpstreamShutdownIsNotBlamedOnARequest(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addCrashingUpstreams(1)
		n := m.nodes[0]
		go func() {
			time.Sleep(runTime / 2)
			up := n.upstream.Load()
			_ = n.Leaving(up.Instance, up.Born)
		}()
		f.askRouted(n, "/file/"+fatalPart, "a")
		f.c.Check(m.crashCount(), qt.Equals, 1)
		f.c.Check(lostRuns(n), qt.DeepEquals, map[call.Reason]int{call.ReasonLost: 1})
	})
}
