package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/upstream"
)

var (
	graph = upstream.Graph{
		"portal":   {"book": {Once: true, Steps: []upstream.Step{{Calls: []upstream.Call{{Service: "registry", Route: "note"}}}}}},
		"registry": {"note": {Once: true}},
	}
	classes = []load.Class{
		{Name: "booking", Target: upstream.Call{Service: "portal", Route: "book"}, Key: load.OwnKey, Once: true, Shed: load.ShedLast},
		{Name: "status", Target: upstream.Call{Service: "registry", Route: "note"}, Shed: load.ShedFirst},
	}
	workBegan = time.Unix(1000, 0)
)

// addExecution adds an execution with the given final state to the ledger.
func addExecution(l *upstream.Ledger, try int, service, route string, state upstream.State) {
	e := l.Arrive("op", upstream.Execution{Try: try, Service: service, Route: route, Once: true})
	if state.Ran() {
		e.Begin(workBegan)
		e.AddWork(time.Second)
	}
	if state == upstream.Finished {
		e.Finish()
		return
	}
	e.GiveUp()
}

// The audit compares the answer to each caller with the executions in the
// upstreams' ledger. Each case has a false answer, duplicate or wasted work
// that the caller alone can't detect.
func TestAuditFindsWhatCallersCannotSee(t *testing.T) {
	c := qt.New(t)
	whole := load.Try{Result: load.Whole, AnswerTry: 1}
	notRun := load.Try{Result: load.NotRun, AnsweredAt: workBegan.Add(time.Second)}
	for name, test := range map[string]struct {
		runs  func(*upstream.Ledger)
		tries []load.Try
		want  Audit
	}{
		"whole": {func(l *upstream.Ledger) {
			addExecution(l, 1, "portal", "book", upstream.Finished)
			addExecution(l, 1, "registry", "note", upstream.Finished)
		}, []load.Try{whole}, Audit{Tries: 1, Worked: 2 * time.Second}},
		"complete, but a hop never finished": {func(l *upstream.Ledger) {
			addExecution(l, 1, "portal", "book", upstream.Finished)
			addExecution(l, 1, "registry", "note", upstream.Abandoned)
		}, []load.Try{whole}, Audit{Tries: 1, Worked: 2 * time.Second, Hollow: 1}},
		"told not-run, yet it ran": {func(l *upstream.Ledger) {
			addExecution(l, 1, "registry", "note", upstream.Abandoned)
		}, []load.Try{notRun}, Audit{Tries: 1, Worked: time.Second, Wasted: time.Second, PartlyDone: 1, FalseNotRun: 1}},
		"second try told not-run, the first had run": {func(l *upstream.Ledger) {
			addExecution(l, 1, "portal", "book", upstream.Abandoned)
		}, []load.Try{{}, notRun}, Audit{Tries: 2, Worked: time.Second, Wasted: time.Second, PartlyDone: 1, FalseNotRunKey: 1}},
		"refused, then run by a retry inside": {func(l *upstream.Ledger) {
			addExecution(l, 1, "portal", "book", upstream.Refused)
			addExecution(l, 1, "portal", "book", upstream.Finished)
			addExecution(l, 1, "registry", "note", upstream.Finished)
		}, []load.Try{whole}, Audit{Tries: 1, Worked: 2 * time.Second, Retries: 1, MaxRetries: 1}},
		"the client's retry ran it again": {func(l *upstream.Ledger) {
			addExecution(l, 1, "portal", "book", upstream.Finished)
			addExecution(l, 1, "registry", "note", upstream.Finished)
			addExecution(l, 2, "portal", "book", upstream.Finished)
			addExecution(l, 2, "registry", "note", upstream.Finished)
		}, []load.Try{{}, {Result: load.Whole, AnswerTry: 2}}, Audit{Tries: 2, Worked: 4 * time.Second, Wasted: 2 * time.Second, Duplicates: 2}},
	} {
		c.Run(name, func(c *qt.C) {
			l := upstream.NewLedger()
			test.runs(l)
			record := load.Record{Arrival: load.Arrival{Operation: "op"}, Tries: test.tries, Result: test.tries[len(test.tries)-1].Result}
			audits := Evidence{Classes: classes, Ledger: l, Graph: graph}.audits([]load.Record{record})
			c.Check(audits[0], qt.Equals, test.want)
		})
	}
}

// Half of the operations in a surge get a stored answer. Counted as whole they
// would look like goodput, and left out they would look like refusals. The
// report must list the shares of fresh and stored answers separately.
func TestReportKeepsStoredAnswersApart(t *testing.T) {
	c := qt.New(t)
	r := &Run{Timeline: Timeline{Surge: load.Span{End: time.Second}, Settled: 2 * time.Second, Length: 2 * time.Second}}
	r.Evidence = Evidence{Classes: classes, Ledger: upstream.NewLedger(), Graph: graph, Records: []load.Record{
		{Result: load.Whole}, {Result: load.Stale}, {Result: load.Stale}, {Result: load.NotRun},
	}}
	r.Measure()
	var text bytes.Buffer
	c.Assert(Table(&text, r), qt.IsNil)
	c.Check(text.String(), qt.Matches, `(?s).*stale: a stored answer .*% whole, a fresh answer +0 +25 +0\s.*% stale, a stored answer +0 +50 +0\s.*`)
}

// Overload refuses bookings (shed last) while it serves status checks (shed
// first). The shed order is violated, so the report must contain BROKEN and
// name both classes.
func TestReportShowsABrokenOrder(t *testing.T) {
	c := qt.New(t)
	r := &Run{System: "pollengauge", Timeline: Timeline{
		Before: load.Span{End: time.Second}, Surge: load.Span{Start: time.Second, End: 2 * time.Second},
		Settled: 4 * time.Second, Length: 4 * time.Second,
	}, Marks: []Mark{{time.Second, "surge x3"}}}
	r.Evidence = Evidence{Classes: classes, Ledger: upstream.NewLedger(), Graph: graph, Records: []load.Record{
		{Arrival: load.Arrival{At: 1500 * time.Millisecond, Class: 0}, Result: load.NotRun, Tries: []load.Try{{Result: load.NotRun}}},
		{Arrival: load.Arrival{At: 1500 * time.Millisecond, Class: 1}, Result: load.Whole, Tries: []load.Try{{Result: load.Whole, AnswerTry: 1}}},
	}}
	r.Measure()
	r.Promises = Check(r, Credits{})
	// The second broken promise is the hollow status answer, for which the
	// ledger has no execution.
	c.Check(r.Broken(), qt.Equals, 2)

	var text, svg bytes.Buffer
	c.Assert(Table(&text, r), qt.IsNil)
	c.Assert(PromiseList(&text, r), qt.IsNil)
	c.Check(text.String(), qt.Contains, "BROKEN  important work is shed last: booking 100.0 % against status 0.0 %")
	c.Check(text.String(), qt.Contains, "PASS    unrepeatable work runs at most once: 0 duplicate runs")
	c.Assert(Plot(&svg, "test", []*Run{r}, func(load.Class) bool { return true }), qt.IsNil)
	c.Check(strings.Contains(svg.String(), "surge x3"), qt.IsTrue)
}
