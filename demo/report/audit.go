package report

import (
	"time"

	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/upstream"
)

// Evidence is the recorded data of a run.
type Evidence struct {
	Classes []load.Class
	Records []load.Record
	Ledger  *upstream.Ledger
	Graph   upstream.Graph
	// Start is the wall-clock time of the start of the run, to which the
	// times in Records are relative.
	Start time.Time
	// Deep is the name of the bottleneck service, and DeepSlots is the total
	// number of its workers.
	Deep      string
	DeepSlots int
}

// DeepBusy returns the utilization of the bottleneck service's workers: the
// service time of the executions that began in span, divided by the time that
// all workers have in span.
func (e Evidence) DeepBusy(span load.Span) float64 {
	from, to := e.Start.Add(span.Start), e.Start.Add(span.End)
	var worked time.Duration
	for _, r := range e.Records {
		for _, x := range e.Ledger.Executions(r.Operation) {
			if x.Service == e.Deep && !x.Began.Before(from) && x.Began.Before(to) {
				worked += x.Worked
			}
		}
	}
	if e.DeepSlots == 0 {
		return 0
	}
	return worked.Seconds() / (span.End - span.Start).Seconds() / float64(e.DeepSlots)
}

// Audit holds the findings of comparing a class's answers with the ledger.
type Audit struct {
	// Duplicates counts the runs beyond the first of work that must not run
	// twice.
	Duplicates int
	// PartlyDone counts operations for which some work was done although the
	// client has no complete answer.
	PartlyDone int
	// FalseNotRun counts attempts with the answer not-run for which work was
	// done.
	FalseNotRun int
	// FalseNotRunKey counts attempts with an idempotency key whose answer was
	// not-run although an earlier attempt with the same key had begun to run
	// before that answer.
	FalseNotRunKey int
	// Hollow counts complete answers for which the ledger lacks a finished run
	// of a service and route in the call chain.
	Hollow int
	// Retries counts the attempts beyond the first that were made inside the
	// chain, for all attempts of clients. MaxRetries is the highest number for
	// one attempt of a client.
	Retries    int
	MaxRetries int
	// Tries counts the clients' attempts.
	Tries int
	// Worked is the service time spent. Wasted is the part spent on attempts
	// that didn't give a client a complete answer.
	Worked, Wasted time.Duration
}

// MeanRetries returns the number of retries inside the chain per attempt of a
// client.
func (a Audit) MeanRetries() float64 {
	if a.Tries == 0 {
		return 0
	}
	return float64(a.Retries) / float64(a.Tries)
}

// add returns the sum of two audits, with the higher MaxRetries.
func (a Audit) add(b Audit) Audit {
	a.Duplicates += b.Duplicates
	a.PartlyDone += b.PartlyDone
	a.FalseNotRun += b.FalseNotRun
	a.FalseNotRunKey += b.FalseNotRunKey
	a.Hollow += b.Hollow
	a.Retries += b.Retries
	a.MaxRetries = max(a.MaxRetries, b.MaxRetries)
	a.Tries += b.Tries
	a.Worked += b.Worked
	a.Wasted += b.Wasted
	return a
}

// audits returns the audit of each class for the given records.
func (e Evidence) audits(records []load.Record) []Audit {
	audits := make([]Audit, len(e.Classes))
	reached := make([]map[upstream.Call]int, len(e.Classes))
	for i, class := range e.Classes {
		reached[i] = e.Graph.Reached(class.Target)
	}
	for i := range records {
		r := &records[i]
		one := auditOne(&e.Classes[r.Class], r, e.Ledger.Executions(r.Operation), reached[r.Class])
		audits[r.Class] = audits[r.Class].add(one)
	}
	return audits
}

func auditOne(class *load.Class, r *load.Record, executions []upstream.Execution, reached map[upstream.Call]int) Audit {
	a := Audit{
		Duplicates: upstream.Duplicates(executions),
		Tries:      len(r.Tries),
		Worked:     upstream.Worked(executions, func(int) bool { return true }),
	}
	answered := r.AnswerTry()
	a.Wasted = upstream.Worked(executions, func(try int) bool { return try != answered })
	whole := r.Result == load.Whole || r.Result == load.Stale
	if !whole && upstream.RanBy(executions, 0) {
		a.PartlyDone = 1
	}
	if r.Result == load.Whole && !finishedAll(executions, answered, reached) {
		a.Hollow = 1
	}
	for i, try := range r.Tries {
		extra := upstream.Retries(executions, i+1)
		a.Retries += extra
		a.MaxRetries = max(a.MaxRetries, extra)
		if try.Result != load.NotRun {
			continue
		}
		if upstream.RanBy(executions, i+1) {
			a.FalseNotRun++
		} else if class.Key != load.NoKey && ranBefore(executions, try.AnsweredAt) {
			a.FalseNotRunKey++
		}
	}
	return a
}

// finishedAll reports whether the executions of the try finished every route at
// least as often as the call graph calls it.
func finishedAll(executions []upstream.Execution, try int, reached map[upstream.Call]int) bool {
	finished := map[upstream.Call]int{}
	for _, e := range executions {
		if e.Try == try && e.State == upstream.Finished {
			finished[upstream.Call{Service: e.Service, Route: e.Route}]++
		}
	}
	for call, visits := range reached {
		if finished[call] < visits {
			return false
		}
	}
	return true
}

func ranBefore(executions []upstream.Execution, at time.Time) bool {
	for _, e := range executions {
		if e.State.Ran() && e.Began.Before(at) {
			return true
		}
	}
	return false
}
