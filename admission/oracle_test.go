package admission

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
	"pollengauge.dev/call"
)

// operation is one step of a generated run. n selects the call that it acts on.
type operation struct {
	kind, n int
	request Request
}

const (
	opAcquire = iota
	opRelease
	opBlock
	opUnblock
	opCancel
	opSleep
	opDrain
	opCancelRelease
)

// waiting means that a call has no outcome yet.
const waiting = call.Reason("waiting")

// entry is the oracle's record of a call.
type entry struct {
	try     *try
	request Request
	cancel  context.CancelFunc
	expires time.Time
	blocks  int
	want    call.Reason
}

// oracle is a simple model of the gate: lists that are searched in full.
type oracle struct {
	gate             *Gate
	limit, queue     int
	all              []*entry
	inFlight, queued []*entry
	draining         bool
}

// Calls arrive, end, block, are cancelled, time out in the queue and meet a
// drain, in any order. Each must get the one outcome that the rules define:
// more important calls first, then calls of requests with more progress; no
// cancelled call is dispatched; a drain interrupts no call in flight or queued;
// and the tickets in use never exceed the slots.
func TestGateAgainstOracle(t *testing.T) {
	operations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
		return operation{
			kind: rapid.SampledFrom([]int{
				opAcquire, opAcquire, opAcquire, opAcquire, opAcquire, opAcquire, opAcquire,
				opRelease, opRelease, opBlock, opUnblock, opCancel, opCancelRelease, opSleep, opDrain,
			}).Draw(t, "kind"),
			n: rapid.IntRange(0, 99).Draw(t, "n"),
			request: Request{
				Level:    call.MakeLevel(call.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), call.Tiebreak(rapid.IntRange(0, 2).Draw(t, "tie"))),
				Progress: rapid.IntRange(0, 5).Draw(t, "progress"),
				MaxWait:  time.Duration(rapid.IntRange(-1, 9).Draw(t, "wait")) * 10 * time.Millisecond,
			},
		}
	}), 40, 120)
	rapid.Check(t, func(rt *rapid.T) {
		ops := operations.Draw(rt, "operations")
		slack := rapid.IntRange(0, 3).Draw(rt, "slack")
		// From minReserveLimit on, shards reserve capacity.
		limit := rapid.SampledFrom([]int{2, minReserveLimit}).Draw(rt, "limit")
		fault := ""
		synctest.Test(t, func(t *testing.T) { fault = runOracle(t, ops, limit, slack) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func runOracle(t *testing.T, ops []operation, limit, slack int) string {
	const queue = 4
	c := qt.New(t)
	g := fixed(c, Config{Slots: limit + slack, InitialLimit: limit, QueueLimit: queue, DepthAware: true, Preference: 1})
	o := &oracle{gate: g, limit: limit, queue: queue}
	for range limit - 1 {
		o.apply(t, operation{kind: opAcquire})
	}
	for i, op := range ops {
		o.apply(t, op)
		if fault := o.compare(); fault != "" {
			return fmt.Sprintf("after operation %d %+v: %s", i, op, fault)
		}
	}
	for _, e := range o.queued {
		e.cancel()
	}
	synctest.Wait()
	return ""
}

func (o *oracle) apply(t *testing.T, op operation) {
	switch op.kind {
	case opAcquire:
		o.acquire(t, op.request)
	case opCancel, opCancelRelease:
		if len(o.queued) > 0 {
			o.resolve(o.queued[op.n%len(o.queued)], call.ReasonCancelled).cancel()
		}
		if op.kind == opCancelRelease && len(o.inFlight) > 0 {
			// Capacity becomes free before the gate notices the cancellation.
			o.visit(opRelease, o.inFlight[op.n%len(o.inFlight)])
		}
	case opSleep:
		o.sleep(time.Duration(op.n) * time.Millisecond)
	case opDrain:
		o.draining = !o.draining
		o.gate.draining.Store(o.draining)
	default:
		if len(o.inFlight) > 0 {
			o.visit(op.kind, o.inFlight[op.n%len(o.inFlight)])
		}
	}
	o.dispatch()
	synctest.Wait()
}

func (o *oracle) visit(kind int, e *entry) {
	switch kind {
	case opRelease:
		e.try.ticket.Release(Ignore)
		o.inFlight = slices.DeleteFunc(o.inFlight, func(x *entry) bool { return x == e })
	case opBlock:
		e.try.ticket.Block()
		e.blocks++
	case opUnblock:
		e.try.ticket.Unblock()
		e.blocks = max(e.blocks-1, 0)
	}
}

func (o *oracle) acquire(t *testing.T, r Request) {
	wait := DefaultMaxQueueWait
	if r.MaxWait != 0 {
		wait = min(wait, r.MaxWait)
	}
	e := &entry{request: r, expires: time.Now().Add(wait), want: waiting}
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(t.Context())
	e.try = start(ctx, o.gate, r)
	o.all = append(o.all, e)
	if o.draining {
		e.want = call.ReasonDraining
		return
	}
	o.queued = append(o.queued, e)
	o.dispatch()
	if e.want != waiting {
		return
	}
	if wait < 0 {
		o.resolve(e, call.ReasonQueueWait)
	} else if len(o.queued) > o.queue {
		worst := slices.MinFunc(o.queued, compareImportance)
		if compareImportance(worst, e) == 0 {
			worst = e
		}
		o.resolve(worst, call.ReasonQueueFull)
	}
}

// compareImportance compares the importance of two calls. The result is negative if
// a is less important.
func compareImportance(a, b *entry) int {
	x, y := a.request, b.request
	if d := int(x.Level.Priority()) - int(y.Level.Priority()); d != 0 {
		return d
	}
	if d := min(x.Progress, 3) - min(y.Progress, 3); d != 0 {
		return d
	}
	return int(x.Level.Tiebreak()) - int(y.Level.Tiebreak())
}

func (o *oracle) sleep(d time.Duration) {
	time.Sleep(d)
	for _, e := range slices.Clone(o.queued) {
		if !e.expires.After(time.Now()) {
			o.resolve(e, call.ReasonQueueWait)
		}
	}
}

func (o *oracle) resolve(e *entry, reason call.Reason) *entry {
	e.want = reason
	o.queued = slices.DeleteFunc(o.queued, func(x *entry) bool { return x == e })
	return e
}

func (o *oracle) dispatch() {
	for len(o.queued) > 0 && len(o.inFlight) < int(o.gate.slots.Load()) && o.active() < o.limit {
		best := o.queued[0]
		for _, e := range o.queued {
			if compareImportance(e, best) > 0 {
				best = e
			}
		}
		o.inFlight = append(o.inFlight, o.resolve(best, call.ReasonNone))
	}
}

func (o *oracle) active() int {
	n := 0
	for _, e := range o.inFlight {
		if e.blocks == 0 {
			n++
		}
	}
	return n
}

// compare describes the first difference between the gate and the oracle, or
// returns an empty string.
func (o *oracle) compare() string {
	for i, e := range o.all {
		got := waiting
		if e.try.ended {
			got = e.try.reason()
		}
		if got != e.want {
			return fmt.Sprintf("call %d: got %q, want %q", i, got, e.want)
		}
	}
	s := o.gate.Snapshot()
	if s.InFlight != len(o.inFlight) || s.InFlight > s.Slots || s.Queued != len(o.queued) || s.InFlight-s.Blocked != o.active() {
		return fmt.Sprintf("counts: %+v, want %d in flight, %d active, %d queued", s, len(o.inFlight), o.active(), len(o.queued))
	}
	return ""
}

// TestMain fixes the seed of the generated runs. The flag -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	m.Run()
}
