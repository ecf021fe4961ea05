package node

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/retry"
)

// Guards against advice to add capacity at the wrong service. The registry is slow, so
// the portal's only slot is held by a call that just waits for it. A second request
// queues at the portal and is refused. Its record must show that it waited, and that the
// slot was blocked by a downstream call; without both, explain would tell the operator
// to add capacity to the portal.
func TestRefusalIsRecordedWithItsWait(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.add("front", "portal", 1, func(w http.ResponseWriter, _ *http.Request, call func(string, string, string) (*http.Response, error)) {
			resp, err := call("registry", http.MethodGet, "/lookup")
			if err == nil {
				_ = resp.Body.Close()
			}
		})
		f.add("deep", "registry", 10, func(w http.ResponseWriter, _ *http.Request, _ func(string, string, string) (*http.Response, error)) {
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(w, "done")
		})
		f.settle()
		first := make(chan reply)
		go func() { first <- f.ask(front, http.MethodGet, "/status", "X-Request-Id", "first") }()
		time.Sleep(500 * time.Millisecond)
		got := f.ask(front, http.MethodGet, "/status", "X-Request-Id", "second")
		f.c.Check(got.outcome, qt.Equals, "not-run")
		f.c.Check((<-first).outcome, qt.Equals, "complete")
		refused := 0
		for _, hop := range front.ring.Find("second") {
			if hop.Kind != "inbound" {
				continue
			}
			refused++
			f.c.Check(hop.Reason, qt.Equals, call.ReasonQueueWait)
			f.c.Check(hop.Waited > 0 && hop.Waited == hop.Took, qt.IsTrue, qt.Commentf("%s", hop.Waited))
			f.c.Check(hop.Blocked, qt.Equals, 1)
			f.c.Check(hop.Limit, qt.Equals, 1)
		}
		f.c.Check(refused > 0, qt.IsTrue)
		top := slices.IndexFunc(front.ring.Find("second"), func(h observe.Hop) bool { return h.Kind == observe.Root })
		f.c.Check(observe.Ending(front.ring.Find("second")[top].Ended), qt.Not(qt.Equals), "")
	})
}

// Guards against an ending without a description: the operator would see no cause on the
// screen.
func TestEveryEndingHasADescription(t *testing.T) {
	c := qt.New(t)
	for _, why := range []retry.VerdictReason{
		retry.WhyMayHaveRun, retry.WhyRefusedByAll, retry.WhyOverload, retry.WhyDeadline,
		retry.WhyNoTarget, retry.WhyNoCredit, retry.WhyRationed, retry.WhyBudget,
	} {
		c.Check(observe.Ending(string(why)), qt.Not(qt.Equals), "", qt.Commentf("%s", why))
	}
}
