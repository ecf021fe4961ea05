package node

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// The request id of a call deep in the call graph contains the ids of all requests that
// led to it. Nodes used to refuse such long ids, and all of these requests failed. The
// call must run under its own id and must be found by it; records only store its short
// form.
func TestDeepCallsWithLongIDsAreServed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		emitted := &events{}
		front := f.addRouted("front", "front", 10, echo, logged(f.c, emitted))
		desk := f.addRouted("desk", "desk", 10, echo, logged(f.c, emitted))
		f.settle()
		id := strings.Repeat("r", call.MaxIDLength-call.MaxDepth*17) + strings.Repeat("/0123456789abcdef", call.MaxDepth)
		f.c.Assert(id, qt.HasLen, call.MaxIDLength)
		got := f.askRouted(front, "/file/x", id)
		f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.reason))
		f.c.Check(got.body, qt.Equals, "answer to "+id)
		for _, n := range []*Node{front, desk} {
			found, err := n.explainEndpoint()(f.t.Context(), ExplainRequest{Request: call.ShortID(id)})
			f.c.Assert(err, qt.IsNil)
			hops := found.(ExplainResponse).Hops
			f.c.Check(len(hops) > 0, qt.IsTrue)
			for _, hop := range hops {
				f.c.Check(len(hop.RequestID) <= call.MaxShortIDLength, qt.IsTrue)
			}
		}
		f.c.Check(strings.Contains(emitted.text.String(), id[:call.MaxShortIDLength+1]), qt.IsFalse)
	})
}
