package node

import (
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxCallAllocations bounds the allocations of one request through two nodes with a
// dialect, together with those of the test's own client and upstream.
const maxCallAllocations = 317

// Guards against work that creeps back into the path of each call, which nodes with a
// fraction of a core can't afford.
func TestAllocationsOfACall(t *testing.T) {
	c := qt.New(t)
	front := benchNodes(t, benchUpstream(t, 0), usePlainDialect)
	client := benchClient(t, front.Addr(OutboundListener))
	ask := func(requests int) {
		for range requests {
			if status := benchRequest(t, client, "desk.example"); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
	}
	const warmUp, requests = 100, 1000
	ask(warmUp)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ask(requests)
	runtime.ReadMemStats(&after)
	perCall := float64(after.Mallocs-before.Mallocs) / requests
	t.Logf("%.1f allocations a call", perCall)
	c.Check(perCall <= maxCallAllocations+raceAllocations, qt.IsTrue, qt.Commentf("%.1f allocations a call", perCall))
}
