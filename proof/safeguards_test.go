package proof

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/node"
)

// safeguard is a mechanism that a promise depends on, with a scenario that breaks
// the promise if the mechanism is disabled.
type safeguard struct {
	name    string
	promise Promise
	without node.Ablation
	run     func(w *world, adjust func(*node.Settings))
}

var safeguards = []safeguard{
	{"credit is split", RetriesBounded, node.Ablation{CopiedCredit: true}, failingMostDownstream},
	{"broken answers are torn down", OwnWholeAnswer, node.Ablation{NoAbort: true}, truncatedAnswer},
	{"keys have fingerprints", OwnWholeAnswer, node.Ablation{NoFingerprint: true}, oneKeyForTwo},
	{"keyed runs are detached", OwnWholeAnswer, node.Ablation{NoDetach: true}, callerLeaves},
	{"streams have one owner", OwnWholeAnswer, node.Ablation{SharedStream: true}, streamBreaks},
	{"stored answers have owners", OwnWholeAnswer, node.Ablation{SharedAnswers: true}, statusOfTwo},
	{"connections are sealed", NotRunIsTrue, node.Ablation{NoSealing: true}, connectionBreaks},
	{"visits are proved", NotRunIsTrue, node.Ablation{NoVisitProof: true}, shedsAfterCalls},
	{"visits close", NotRunIsTrue, node.Ablation{NoClosedVisit: true}, callsOutLate},
	{"keys have homes", AtMostOnce, node.Ablation{NoKeyHome: true}, keyAtThreeNodes},
	{"the transport never replays", AtMostOnce, node.Ablation{TransportReplays: true}, reusedConnectionBreaks},
	{"drains are told and refused", LeavingGetsNoWork, node.Ablation{NoDrainNews: true}, drainUnderLoad},
	{"requests under which upstreams end are held", UpstreamsOutlast, node.Ablation{NoQuarantine: true}, crashesItsUpstreams},
	{"drains wait", GracefulCutsNothing, node.Ablation{NoDrainWait: true}, exitWithCallsInFlight},
}

// Each promise must hold in a scenario designed to break it, and must be broken in
// the same scenario with the safeguard disabled. This shows that the check can
// fail: a check that can't fail proves nothing.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, s := range safeguards {
		t.Run(s.name, func(t *testing.T) {
			with := s.violations(t, node.Ablation{})
			qt.Check(t, with, qt.HasLen, 0)
			without := s.violations(t, s.without)
			t.Logf("without the safeguard: %v", without)
			broken := slices.ContainsFunc(without, func(v *Violation) bool { return v.Promise == s.promise })
			qt.Check(t, broken, qt.IsTrue)
		})
	}
}

func (s safeguard) violations(t *testing.T, ablate node.Ablation) (found []*Violation) {
	inBubble(t, func(w *world) {
		s.run(w, func(settings *node.Settings) { settings.Ablate = ablate })
		w.callers.Wait()
		time.Sleep(5 * time.Second)
		found = w.Ledger.Check()
	})
	return found
}

// mustComplete reports a violation if an answer isn't complete. It is for
// scenarios in which no fault may prevent a complete answer.
func (w *world) mustComplete(p Promise, o *Operation, r Reply) {
	if !r.Complete() {
		w.Ledger.Report(&Violation{Promise: p, Subject: o.ID, Detail: "answer " + r.Outcome + " " + r.Reason + " " + brief(r.Body)})
	}
}

// A request fans out, and all upstreams of the most downstream service break the
// connection. The retries of the three calls in the middle add up.
func failingMostDownstream(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1")
	w.startAll("registry", 10, adjust, "r1", "r2", "r3")
	w.startAll("billing", 10, adjust, "b1", "b2", "b3")
	w.settle()
	for _, host := range []string{"b1", "b2", "b3"} {
		w.Member(host).Upstream.Behave(Behavior{Mode: CrashFirst})
	}
	deep := Call{Service: "billing", Method: "GET", Path: "/sum"}
	middle := Call{Service: "registry", Method: "GET", Path: "/lookup", Downstream: []Call{deep}}
	o := w.Ledger.Add(Operation{Credit: testCredit, Root: Call{
		Service: "portal", Method: "GET", Path: "/read", Parallel: true, Downstream: []Call{middle, middle, middle},
	}})
	w.presentNow(o, "p1", "", 0)
}

// maxCrashes is the number of upstreams that one request may crash until it is
// identified as the cause: two before it is quarantined, and one at its trial.
const maxCrashes = 3

// A request crashes each upstream that runs it, and callers repeat it.
func crashesItsUpstreams(w *world, adjust func(*node.Settings)) {
	hosts := []string{"p1", "p2", "p3"}
	w.startAll("portal", 10, adjust, hosts...)
	w.settle()
	for _, host := range hosts {
		w.Member(host).Upstream.Behave(Behavior{Mode: Crash, Path: "/fatal"})
	}
	for i := range 20 {
		o := w.Ledger.Add(Operation{Credit: testCredit, Root: Call{Service: "portal", Method: "GET", Path: "/fatal"}})
		w.presentNow(o, hosts[i%len(hosts)], "", 0)
		time.Sleep(time.Second)
	}
	crashes := 0
	for _, host := range hosts {
		crashes += w.Member(host).Upstream.Crashes()
	}
	if crashes > maxCrashes {
		w.Ledger.Report(&Violation{Promise: UpstreamsOutlast, Subject: "/fatal", Detail: strconv.Itoa(crashes) + " upstream crashes"})
	}
}

// The upstream breaks the connection in the middle of its answer.
func truncatedAnswer(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1")
	w.settle()
	w.Member("p1").Upstream.Behave(Behavior{Mode: Truncate})
	w.presentNow(w.Ledger.Add(read(0)), "p1", "", 0)
}

// Two callers send the same key with different requests.
func oneKeyForTwo(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1", "p2")
	w.startAll("registry", 10, adjust, "r1")
	w.settle()
	w.presentNow(w.Ledger.Add(filing(10)), "p1", "key-1", 0)
	w.presentNow(w.Ledger.Add(filing(10)), "p2", "key-1", 0)
}

// A caller disconnects while its filing runs and retries at another node.
func callerLeaves(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1", "p2")
	w.startAll("registry", 10, adjust, "r1")
	w.settle()
	for _, host := range []string{"p1", "p2"} {
		w.Member(host).Upstream.Behave(Behavior{Work: time.Second})
	}
	o := w.Ledger.Add(filing(10))
	w.presentNow(o, "p1", "key-1", 500*time.Millisecond)
	w.mustComplete(OwnWholeAnswer, o, w.presentNow(o, "p2", "key-1", 0))
}

// Connections break in the middle of a request body that is longer than the replay
// buffer. The call is idempotent, so a retry would follow if it could resend
// the complete body. A retry that sends only the rest of the body looks like a
// complete request to the upstream.
func streamBreaks(w *world, adjust func(*node.Settings)) {
	const credit = 5 // enough that the credit left by a lost attempt allows another attempt
	w.apply(strings.Replace(profiles, "credit: 2", "credit: 5", 1))
	withReplayLimit := func(s *node.Settings) {
		adjust(s)
		s.MaxReplayBytes = 4 << 10
	}
	w.startAll("portal", 10, withReplayLimit, "p1")
	w.startAll("registry", 10, withReplayLimit, "r1", "r2", "r3")
	w.settle()
	put := Call{Service: "registry", Method: "PUT", Path: "/put", RequestBytes: 20_000}
	for range 20 {
		w.Net.CutAfter("p1", "r1", 9000)
		w.Net.CutAfter("p1", "r2", 9000)
		w.presentNow(w.Ledger.Add(Operation{Credit: credit, Root: Call{Service: "portal", Method: "PUT", Path: "/put", Downstream: []Call{put}}}), "p1", "", 0)
	}
}

// Two callers request their own status at the same URL. When the second request
// arrives, the upstream sheds calls, and the profile allows a stored answer.
func statusOfTwo(w *world, adjust func(*node.Settings)) {
	w.apply(strings.Replace(profiles, "maxAge: 0s", "maxAge: 20s", 1))
	w.startAll("portal", 10, adjust, "p1")
	w.settle()
	status := Operation{Credit: testCredit, Root: Call{Service: "portal", Method: "GET", Path: "/status"}}
	w.presentNow(w.Ledger.Add(status), "p1", "", 0)
	w.Member("p1").Upstream.Behave(Behavior{Mode: ShedFirst})
	w.presentNow(w.Ledger.Add(status), "p1", "", 0)
}

// The connection to the downstream node breaks while the call runs there.
func connectionBreaks(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1")
	w.startAll("registry", 10, adjust, "r1")
	w.startAll("billing", 10, adjust, "b1")
	w.settle()
	w.Member("r1").Upstream.Behave(Behavior{Work: 500 * time.Millisecond})
	w.present(w.Ledger.Add(plain(1)), "p1", "", 0)
	time.Sleep(200 * time.Millisecond)
	w.Net.Cut("p1", "r1")
}

// The upstream at the entry sheds the call after its downstream calls have run.
func shedsAfterCalls(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1")
	w.startAll("registry", 10, adjust, "r1")
	w.settle()
	w.Member("p1").Upstream.Behave(Behavior{Mode: ShedAfterCalls})
	w.presentNow(w.Ledger.Add(filing(10)), "p1", "", 0)
}

// The upstream at the entry sheds the call and afterwards makes an outbound call
// for the same request.
func callsOutLate(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1")
	w.startAll("registry", 10, adjust, "r1")
	w.settle()
	w.Member("p1").Upstream.Behave(Behavior{Mode: ShedLateCall})
	w.presentNow(w.Ledger.Add(filing(10)), "p1", "", 0)
}

// A caller presents the same key at all nodes concurrently.
func keyAtThreeNodes(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1", "p2", "p3")
	w.startAll("registry", 10, adjust, "r1")
	w.settle()
	o := w.Ledger.Add(filing(10))
	key := w.Mint(w.t.Context(), "p1")
	for _, host := range []string{"p1", "p2", "p3"} {
		w.present(o, host, key, 0)
	}
}

// The upstream runs a filing and then breaks the connection, which has already
// served another request.
func reusedConnectionBreaks(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 1, adjust, "p1")
	w.startAll("registry", 10, adjust, "r1")
	w.settle()
	w.presentNow(w.Ledger.Add(read(0)), "p1", "", 0)
	w.Member("p1").Upstream.Behave(Behavior{Mode: CrashAfter, Count: 1})
	w.presentNow(w.Ledger.Add(filing(10)), "p1", "key-1", 0)
}

// A node drains while callers continue to send requests to every edge, including
// the edge of the draining node.
func drainUnderLoad(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 10, adjust, "p1", "p2", "p3")
	w.settle()
	qt.Assert(w.t, w.SetDraining("p1", true), qt.IsNil)
	for range 100 {
		for _, host := range w.Hosts() {
			w.present(w.Ledger.Add(read(0)), host, "", 0)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A node exits gracefully while it runs filings, and while other nodes send it
// calls and query it for the fates of the keys it owns.
func exitWithCallsInFlight(w *world, adjust func(*node.Settings)) {
	w.startAll("portal", 100, adjust, "p1", "p2", "p3")
	w.startAll("registry", 100, adjust, "r1")
	w.settle()
	for _, host := range []string{"p1", "p2", "p3"} {
		w.Member(host).Upstream.Behave(Behavior{Work: 200 * time.Millisecond})
	}
	check := func(o Operation, host string) {
		w.callers.Go(func() {
			op := w.Ledger.Add(o)
			w.mustComplete(GracefulCutsNothing, op, w.presentNow(op, host, "", 0))
		})
	}
	for i := range 40 {
		if i < 10 {
			check(filing(10), "p1")
		}
		if i == 10 {
			_, err := w.Exit(w.t.Context(), "p1")
			qt.Assert(w.t, err, qt.IsNil)
		}
		host := []string{"p2", "p3"}[i%2]
		check(read(1), host)
		check(filing(10), host)
		time.Sleep(50 * time.Millisecond)
	}
}
