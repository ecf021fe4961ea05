package proof

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/node"
)

// profiles is a configuration with one profile for each kind of operation.
const profiles = `
profiles:
- {name: default, priority: 1, key: optional, record: none, deadline: 3s, maxWait: 500ms, credit: 2, brownout: {maxAge: 0s}, prefer: balanced}
- {name: plain, priority: 2, key: optional, record: none, deadline: 3s, maxWait: 500ms, credit: 2, brownout: {maxAge: 0s}, prefer: balanced}
- {name: filing, priority: 12, unrepeatable: true, key: optional, record: none, deadline: 3s, maxWait: 1s, credit: 2, brownout: {maxAge: 0s}, prefer: goodput}
assignments:
- {service: "*", method: POST, pathPrefix: /file, profile: filing}
- {service: "*", method: POST, pathPrefix: /plain, profile: plain}
limits: {retryRatio: 0.1}
`

const testCredit = 2

// world is a cluster under test with the callers that wait for answers.
type world struct {
	*Cluster
	t       testing.TB
	callers sync.WaitGroup
}

// inBubble runs a test in virtual time. It recovers a panic of the test, with
// which rapid aborts a run, closes the cluster and then panics again.
func inBubble(t *testing.T, test func(w *world)) {
	var failed any
	synctest.Test(t, func(t *testing.T) {
		w := &world{Cluster: NewCluster(), t: t}
		defer func() {
			failed = recover()
			w.Net.HealAll()
			w.callers.Wait()
			w.Close()
			synctest.Wait()
		}()
		w.apply(profiles)
		test(w)
	})
	if failed != nil {
		panic(failed)
	}
}

// apply writes a configuration to the platform's store and fails the test if it
// isn't accepted.
func (w *world) apply(text string) {
	set, err := config.Parse([]byte(text), config.YAML)
	qt.Assert(w.t, err, qt.IsNil)
	document, err := config.Read(context.Background(), w.Store)
	qt.Assert(w.t, err, qt.IsNil)
	_, err = w.Apply(context.Background(), set, config.ApplyOptions{Author: "test", ExpectVersion: document.Set.Version})
	qt.Assert(w.t, err, qt.IsNil)
}

// start starts a member and fails the test if that isn't possible.
func (w *world) start(spec MemberSpec) *Member {
	m, err := w.Start(spec)
	qt.Assert(w.t, err, qt.IsNil)
	return m
}

// startAll starts a member with the given slots on each host.
func (w *world) startAll(service string, slots int, adjust func(*node.Settings), hosts ...string) {
	for _, host := range hosts {
		w.start(MemberSpec{Host: host, Service: service, Slots: slots, Adjust: adjust})
	}
}

// settle waits until membership and configuration have spread to all nodes.
func (w *world) settle() { time.Sleep(3 * time.Second) }

// present sends a request for an operation in the background. The caller
// disconnects after leave, or waits for the answer if leave is 0.
func (w *world) present(o *Operation, host, key string, leave time.Duration) {
	w.callers.Go(func() { w.presentNow(o, host, key, leave) })
}

// callerPatience is the timeout of a caller that would otherwise wait forever
// for a node that never answers.
const callerPatience = 30 * time.Second

func (w *world) presentNow(o *Operation, host, key string, leave time.Duration) Reply {
	return w.presentTo(w.Member(host), o, host, key, leave)
}

func (w *world) presentTo(m *Member, o *Operation, host, key string, leave time.Duration) Reply {
	if m == nil {
		return Reply{Err: &UnknownMemberError{Host: host}}
	}
	if leave == 0 {
		leave = callerPatience
	}
	ctx, cancel := context.WithTimeout(context.Background(), leave)
	defer cancel()
	return w.PresentTo(ctx, m, Presentation{Operation: o.ID, Host: host, Key: key})
}

// outcomes counts the presentations by outcome. "left" counts callers that
// disconnected, "broken" answers that failed to arrive in full.
func (w *world) outcomes() map[string]int {
	counts := make(map[string]int)
	for _, p := range w.Ledger.Presentations() {
		switch {
		case p.Left:
			counts["left"]++
		case p.Reply.Err != nil:
			counts["broken"]++
		default:
			counts[p.Reply.Outcome]++
		}
	}
	return counts
}

// Operations for the tests.

func read(width int) Operation {
	var downstream []Call
	for range width {
		downstream = append(downstream, Call{Service: "registry", Method: "GET", Path: "/lookup", AnswerBytes: 300})
	}
	return Operation{Credit: testCredit, Root: Call{Service: "portal", Method: "GET", Path: "/read", Downstream: downstream, Parallel: width > 2, AnswerBytes: 2000, Trailer: true}}
}

func filing(bytes int) Operation {
	downstream := []Call{
		{Service: "registry", Method: "GET", Path: "/lookup"},
		{Service: "registry", Method: "POST", Path: "/file", RequestBytes: bytes, OwnKey: "clerk"},
	}
	return Operation{Credit: testCredit, Unrepeatable: true, Root: Call{Service: "portal", Method: "POST", Path: "/file", Downstream: downstream, RequestBytes: bytes, AnswerBytes: bytes}}
}

func plain(width int) Operation {
	var downstream []Call
	for range width {
		deep := Call{Service: "billing", Method: "POST", Path: "/plain"}
		downstream = append(downstream, Call{Service: "registry", Method: "POST", Path: "/plain", Downstream: []Call{deep, deep}})
	}
	return Operation{Credit: testCredit, Root: Call{Service: "portal", Method: "POST", Path: "/plain", Downstream: downstream, RequestBytes: 100, AnswerBytes: 100}}
}
