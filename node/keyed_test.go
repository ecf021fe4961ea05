package node

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/membership"
	"pollengauge.dev/standin"
)

func fileSlowly(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
	time.Sleep(500 * time.Millisecond)
	_, _ = io.WriteString(w, "filed "+r.Header.Get("X-Operation"))
}

// mintAt gets a key from a node's edge, as a caller does.
func (f *fleet) mintAt(n *Node) string {
	got := f.ask(n, http.MethodPost, KeyPath)
	f.c.Assert(got.status, qt.Equals, http.StatusOK)
	return got.body[len(`{"key":"`) : len(got.body)-len("\"}\n")]
}

// threeFilers starts three nodes of the filing service.
func (f *fleet) threeFilers(h handler, adjust ...func(*Settings)) (a, b, c *Node) {
	f.apply(filingProfiles)
	a = f.add("a", "filing", 10, h, adjust...)
	b = f.add("b", "filing", 10, h, adjust...)
	c = f.add("c", "filing", 10, h, adjust...)
	f.settle()
	return a, b, c
}

func (f *fleet) file(n *Node, key string) reply {
	return f.ask(n, http.MethodPost, "/file", "X-Operation", "op", "Idempotency-Key", key)
}

// A caller presents its key at three nodes at once, and again later. All get the
// complete answer of the single run: two wait for it, and the later one gets the stored
// answer.
func TestRetriesAtOtherNodesGetTheFirstAnswer(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.threeFilers(fileSlowly)
		key := f.mintAt(a)
		replies := make(chan reply, 3)
		for _, n := range []*Node{b, c, a} {
			go func() { replies <- f.file(n, key) }()
		}
		for range 3 {
			got := <-replies
			f.c.Check(got.outcome, qt.Equals, "complete")
			f.c.Check(got.body, qt.Equals, "filed op")
		}
		f.c.Check(f.file(c, key).body, qt.Equals, "filed op")
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}

// The owner of a key is lost while its filing runs, and the caller retries at another
// node. That node can't know whether the filing ran. The caller must get the outcome
// unknown, and the filing must not run again, neither then nor later.
func TestLostOwnerLeavesTheFateUnknown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.threeFilers(fileSlowly)
		key := f.mintAt(a)
		go f.file(a, key)
		time.Sleep(100 * time.Millisecond)
		f.net.Kill("a")
		a.Close()
		delete(f.nodes, "a")
		for _, n := range []*Node{b, c} {
			got := f.file(n, key)
			f.c.Check(got.outcome, qt.Equals, "unknown")
		}
		time.Sleep(time.Minute)
		got := f.file(b, key)
		f.c.Check(got.outcome, qt.Equals, "unknown")
		f.c.Check(got.reason, qt.Equals, "key-home-gone")
		f.c.Check(f.runs.of("filing", "op") <= 1, qt.IsTrue)
	})
}

// A caller presents its own key at several nodes while the platform is available. A
// single object in the platform must decide which node may run it.
func TestBroughtKeyRunsOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.threeFilers(fileSlowly)
		replies := make(chan reply, 3)
		for _, n := range []*Node{a, b, c} {
			go func() { replies <- f.file(n, "my-own-key") }()
		}
		for range 3 {
			got := <-replies
			f.c.Check(got.outcome, qt.Equals, "complete")
			f.c.Check(got.body, qt.Equals, "filed op")
		}
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}

// A key is presented with a different request than before. Its caller must not get the
// answer to the first request; the call must be refused.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, _, _ := f.threeFilers(fileSlowly)
		key := f.mintAt(a)
		f.c.Check(f.file(a, key).body, qt.Equals, "filed op")
		other := f.ask(a, http.MethodPost, "/file/other", "X-Operation", "op2", "Idempotency-Key", key)
		f.c.Check(other.reason, qt.Equals, "key-reused")
		f.c.Check(f.runs.of("filing", "op2"), qt.Equals, 0)
	})
}

// A node drains and exits while a filing runs on it and its table stores the answer to
// another key. The filing must complete, no caller may lose its connection, and the
// successor must answer for the keys once the node is gone.
func TestDrainCutsOffNothingAndHandsKeysOver(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.threeFilers(fileSlowly)
		done, running := f.mintAt(a), f.mintAt(a)
		f.c.Check(f.file(a, done).outcome, qt.Equals, "complete")
		replies := make(chan reply, 1)
		go func() {
			replies <- f.ask(a, http.MethodPost, "/file", "X-Operation", "op2", "Idempotency-Key", running)
		}()
		time.Sleep(100 * time.Millisecond)
		f.c.Assert(a.Drain(f.t.Context()), qt.IsNil)
		delete(f.nodes, "a")
		got := <-replies
		f.c.Check(got.outcome, qt.Equals, "complete")
		f.c.Check(got.body, qt.Equals, "filed op2")
		time.Sleep(time.Second)
		for _, n := range []*Node{b, c} {
			f.c.Check(f.file(n, done).body, qt.Equals, "filed op")
		}
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
		f.c.Check(f.runs.of("filing", "op2"), qt.Equals, 1)
	})
}

// A node begins to drain. Within 2 s the other nodes must stop sending it new work,
// while its own edge still serves callers through the other nodes.
func TestDrainingNodeGetsNoNewWork(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.threeFilers(answerOK)
		a.SetDraining(true)
		a.SetDraining(true)
		synctest.Wait()
		time.Sleep(2 * time.Second)
		for _, n := range []*Node{b, c} {
			member, state, ok := n.gossip.Lookup(a.ID())
			f.c.Check(ok && member.Draining && state == membership.Alive, qt.IsTrue)
		}
		before := a.gate.Snapshot().Admitted
		for range 20 {
			got := f.ask(a, http.MethodGet, "/x", "X-Operation", "read")
			f.c.Check(got.outcome, qt.Equals, "complete")
		}
		f.c.Check(a.gate.Snapshot().Admitted, qt.Equals, before)
		a.SetDraining(false)
		f.c.Check(f.file(a, f.mintAt(a)).outcome, qt.Equals, "complete")
	})
}

// The platform is unavailable before the nodes start. They must serve calls all the
// same, and minted keys must work. Only a key that the caller brought is refused,
// because nothing could prevent two nodes from running it.
func TestServesWithThePlatformDown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		down := standin.NewMemory()
		down.SetFaults(standin.Faults{Down: true})
		f.store = down
		a := f.add("a", "filing", 10, answerOK)
		b := f.add("b", "filing", 10, answerOK)
		f.settle()
		f.c.Check(f.ask(b, http.MethodGet, "/x", "X-Operation", "read").outcome, qt.Equals, "complete")
		f.c.Check(f.file(b, f.mintAt(a)).outcome, qt.Equals, "complete")
		got := f.ask(a, http.MethodPost, "/file", "X-Operation", "own", "Idempotency-Key", "brought")
		f.c.Check(got.reason, qt.Equals, "key-unclaimed")
		f.c.Check(f.runs.of("filing", "own"), qt.Equals, 0)
	})
}

// A key is claimed at a node. Before its call is refused, the table is sealed for a
// hand-over, which takes the claim back. Another presentation may run the key at the
// successor, so this caller must not be told not-run.
func TestRefusalAfterTheClaimWasTakenBack(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, _, _ := f.threeFilers(answerOK)
		verdict, err := a.keys.Begin(f.t.Context(), atmostonce.Presentation{Key: f.mintAt(a)})
		f.c.Assert(err, qt.IsNil)
		f.net.Kill("b")
		lost := &successor{node: a, addr: f.nodes["b"].Addr(PeerListener)}
		f.c.Assert(a.keys.HandOver(f.t.Context(), atmostonce.Incarnation(f.nodes["b"].ID()), lost), qt.IsNotNil)
		gone, cancel := context.WithCancel(f.t.Context())
		cancel()
		got := a.runAsOwner(gone, &request{}, verdict.Run)
		f.c.Check(got.report.Outcome, qt.Equals, call.Unknown)
	})
}

// A VM is lost with filings in flight. Some of them ran at the upstreams of other
// nodes, and their callers have not retried. The others ran on the lost VM itself;
// their callers retry at a third node and get the outcome unknown. The lost key table
// contained all of them. An operator must still find all of them on the remaining
// nodes, each once however often a caller retries, and none that completed.
func TestFilingsOfALostOwnerStayListed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.threeFilers(fileSlowly)
		listed := func(n *Node) []FateView {
			response, err := n.fatesEndpoint()(f.t.Context(), FatesRequest{})
			f.c.Assert(err, qt.IsNil)
			return response.(FatesResponse).Fates
		}
		f.c.Check(f.file(b, f.mintAt(a)).outcome, qt.Equals, "complete")
		keys := make([]string, 20)
		for i := range keys {
			keys[i] = f.mintAt(a)
			go f.file(a, keys[i])
		}
		time.Sleep(100 * time.Millisecond)
		f.net.Kill("a")
		a.Close()
		delete(f.nodes, "a")
		time.Sleep(20 * time.Second)
		elsewhere := len(listed(b)) + len(listed(c))
		f.c.Check(elsewhere > 0 && elsewhere < len(keys), qt.IsTrue, qt.Commentf("%d runs on b and c", elsewhere))
		for _, key := range append(keys, keys...) {
			f.c.Check(f.file(c, key).outcome, qt.Equals, "unknown")
		}
		seen := map[string]bool{}
		for _, fate := range append(listed(b), listed(c)...) {
			f.c.Check(fate.Home, qt.Equals, a.ID())
			f.c.Check(fate.State, qt.Equals, "unknown")
			seen[fate.Key] = true
		}
		f.c.Check(seen, qt.HasLen, len(keys))
		f.c.Check(listed(c), qt.HasLen, len(keys))
		f.c.Check(c.unsettled.list(c.now().Add(25*time.Hour), c.ownerIsMember), qt.HasLen, 0)
	})
}
