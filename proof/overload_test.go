package proof

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/node"
)

const overloadProfiles = `
profiles:
- {name: default, priority: 1, key: optional, record: none, deadline: 2s, maxWait: 200ms, credit: 2, brownout: {maxAge: 0s}, prefer: balanced}
- {name: payment, priority: 14, unrepeatable: true, key: optional, record: none, deadline: 2s, maxWait: 1s, credit: 2, brownout: {maxAge: 0s}, prefer: goodput}
assignments:
- {service: "*", method: POST, pathPrefix: /pay, profile: payment}
limits: {retryRatio: 0.1}
`

// tally counts the requests of one kind and their answers.
type tally struct{ offered, complete, refused int }

func (w *world) tallyOf(path string, since time.Time) (n tally) {
	for _, p := range w.Ledger.Presentations() {
		if p.Sent.Before(since) || w.Ledger.operation(p.Operation).Root.Path != path {
			continue
		}
		n.offered++
		if p.Reply.Complete() {
			n.complete++
		}
		if p.Reply.NotRun() {
			n.refused++
		}
	}
	return n
}

// overload offers one upstream browsing requests at twice its capacity, and
// payments in addition. It returns the counts after the warm-up.
func overload(w *world, ablate node.Ablation) (browse, pay tally) {
	w.apply(overloadProfiles)
	w.startAll("portal", 2, func(s *node.Settings) { s.Ablate = ablate }, "p1")
	w.settle()
	w.Member("p1").Upstream.Behave(Behavior{Work: 50 * time.Millisecond})
	var warm time.Time
	for i := range 800 {
		if i == 200 {
			warm = time.Now()
		}
		w.present(w.Ledger.Add(Operation{Root: Call{Service: "portal", Method: "GET", Path: "/browse"}, Credit: 2}), "p1", "", 0)
		if i%8 == 0 {
			w.present(w.Ledger.Add(Operation{Root: Call{Service: "portal", Method: "POST", Path: "/pay"}, Unrepeatable: true, Credit: 2}), "p1", "", 0)
		}
		time.Sleep(12500 * time.Microsecond)
	}
	w.callers.Wait()
	return w.tallyOf("/browse", warm), w.tallyOf("/pay", warm)
}

// Browsing alone is twice the upstream's capacity, and payments pass through the
// same admission gate. All payments must complete, and browsing gets the
// remaining capacity. Without admission control, payments are refused like all
// other requests.
func TestPaymentsAreShedLast(t *testing.T) {
	c := qt.New(t)
	inBubble(t, func(w *world) {
		browse, pay := overload(w, node.Ablation{})
		t.Logf("with admission: browsing %+v, payments %+v", browse, pay)
		c.Check(pay.complete, qt.Equals, pay.offered)
		c.Check(browse.refused > browse.offered/4, qt.IsTrue)
		c.Check(browse.complete > browse.offered/4, qt.IsTrue)
		c.Check(w.Ledger.Check(), qt.HasLen, 0)
	})
	inBubble(t, func(w *world) {
		browse, pay := overload(w, node.Ablation{NoAdmission: true})
		t.Logf("without admission: browsing %+v, payments %+v", browse, pay)
		c.Check(pay.complete < pay.offered && browse.complete > 0, qt.IsTrue)
	})
}

// All upstreams of the most downstream service break connections while readers
// continue to send requests, and each request may use its credit. The retries of
// all readers together must not exceed a tenth of the first attempts plus one
// burst. Otherwise the failure of one service overloads the entire system.
func TestRetriesOfAllRequestsStayAShare(t *testing.T) {
	extra := func(ablate node.Ablation) (first, all int) {
		inBubble(t, func(w *world) {
			adjust := func(s *node.Settings) { s.Ablate = ablate }
			w.startAll("portal", 50, adjust, "p1")
			w.startAll("registry", 50, adjust, "r1", "r2", "r3")
			w.settle()
			for _, host := range []string{"r1", "r2", "r3"} {
				w.Member(host).Upstream.Behave(Behavior{Mode: CrashFirst})
			}
			start := time.Now()
			for range 300 {
				w.present(w.Ledger.Add(read(1)), "p1", "", 0)
				time.Sleep(20 * time.Millisecond)
			}
			w.callers.Wait()
			for _, host := range []string{"r1", "r2", "r3"} {
				all += w.Ledger.Arrivals(host, start)
			}
			// The node counts external requests and its upstream's outbound calls as
			// first attempts.
			first = 2 * w.Ledger.Arrivals("p1", start)
			all += first / 2
		})
		return first, all
	}
	c := qt.New(t)
	const burst, ratio = 3, 0.1
	first, all := extra(node.Ablation{})
	t.Logf("with the budget: %d calls for %d first attempts", all, first)
	c.Check(float64(all-first) <= ratio*float64(first)+burst, qt.IsTrue)
	first, all = extra(node.Ablation{NoBudget: true})
	t.Logf("without the budget: %d calls for %d first attempts", all, first)
	c.Check(float64(all-first) > ratio*float64(first)+burst, qt.IsTrue)
}

// All upstreams of the most downstream service break connections for twelve
// seconds. Meanwhile one entry node starts and cancels drains, exits and is
// replaced. Its calls move to other nodes, and the replacement starts with an
// empty window. The retries of all nodes must still stay within the configured
// share plus one burst for each node and window.
func TestRetryShareHoldsThroughDrainsAndRestarts(t *testing.T) {
	const requests, every = 600, 20 * time.Millisecond
	c := qt.New(t)
	inBubble(t, func(w *world) {
		w.startAll("portal", 50, nil, "p1", "p2")
		w.startAll("registry", 50, nil, "r1", "r2", "r3")
		w.settle()
		for _, host := range []string{"r1", "r2", "r3"} {
			w.Member(host).Upstream.Behave(Behavior{Mode: CrashFirst})
		}
		entries := []string{"p1", "p2"}
		start := time.Now()
		for i := range requests {
			if i%50 == 0 {
				_ = w.SetDraining("p2", i%100 == 0)
			}
			if i == requests/2 {
				entries = []string{"p1"}
				_, err := w.Exit(w.t.Context(), "p2")
				c.Assert(err, qt.IsNil)
				w.startAll("portal", 50, nil, "p3")
			}
			w.present(w.Ledger.Add(read(1)), entries[i%len(entries)], "", 0)
			time.Sleep(every)
		}
		w.callers.Wait()
		portalCalls, downstream := 0, 0
		for _, host := range []string{"p1", "p2", "p3"} {
			portalCalls += w.Ledger.Arrivals(host, start)
		}
		for _, host := range []string{"r1", "r2", "r3"} {
			downstream += w.Ledger.Arrivals(host, start)
		}
		// Each request is a first attempt at its entry, and so is each call that an
		// upstream makes. Calls that a draining node refuses arrive at no upstream.
		first := requests + portalCalls
		retries := max(portalCalls-requests, 0) + downstream - portalCalls
		const ratio, burst, nodes, windows = 0.1, 3, 3, 2
		t.Logf("%d requests, %d calls at portals, %d downstream: %d retries for %d first attempts", requests, portalCalls, downstream, retries, first)
		c.Check(float64(retries) <= ratio*float64(first)+burst*nodes*windows, qt.IsTrue)
		c.Check(retries > 0, qt.IsTrue)
		c.Check(w.Ledger.Check(), qt.HasLen, 0)
	})
}
