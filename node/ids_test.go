package node

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// A call far down the graph has the id of each request above it in its own. Its
// node and the next refused it, and all requests above failed. It has to run
// under its own id, and be found by it; what is kept of it is short.
func TestCallsFarDownTheGraphAreServed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		told := &events{}
		front := f.addRouted("front", "front", 10, echo, logged(f.c, told))
		desk := f.addRouted("desk", "desk", 10, echo, logged(f.c, told))
		f.settle()
		id := strings.Repeat("r", call.MaxIDLength-call.MaxDepth*17) + strings.Repeat("/0123456789abcdef", call.MaxDepth)
		f.c.Assert(id, qt.HasLen, call.MaxIDLength)
		got := f.askRouted(front, "/file/x", id)
		f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.reason))
		f.c.Check(got.body, qt.Equals, "answer to "+id)
		for _, n := range []*Node{front, desk} {
			found, err := n.explainEndpoint()(f.t.Context(), ExplainRequest{Request: call.KeptID(id)})
			f.c.Assert(err, qt.IsNil)
			hops := found.(ExplainResponse).Hops
			f.c.Check(len(hops) > 0, qt.IsTrue)
			for _, hop := range hops {
				f.c.Check(len(hop.RequestID) <= call.KeptIDLength, qt.IsTrue)
			}
		}
		f.c.Check(strings.Contains(told.text.String(), id[:call.KeptIDLength+1]), qt.IsFalse)
	})
}
