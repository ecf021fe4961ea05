package demo

import (
	"context"
	"sync"
	"time"

	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/report"
	"pollengauge.dev/objects"
)

// The times of a run at time scale 1, and the factors of its faults. Every
// system gets the same load up to settledAt; only pollengauge runs the rest.
const (
	warmAt       = 500 * time.Millisecond
	surgeAt      = 1800 * time.Millisecond
	editAt       = 3000 * time.Millisecond
	slowAt       = 3800 * time.Millisecond
	surgeEndAt   = 4600 * time.Millisecond
	settledAt    = 7400 * time.Millisecond
	platformAt   = 7500 * time.Millisecond
	restartAt    = 7900 * time.Millisecond
	killAt       = 9200 * time.Millisecond
	platformUpAt = 10 * time.Second
	fullLength   = 11 * time.Second
	surgeFactor  = 3
	slowFactor   = 3
	// editSettles is the time after the start of the surge and after the edit
	// that the comparison before and after the edit excludes.
	editSettles = 200 * time.Millisecond
)

// schedule holds the time scale of a run and converts times to it.
type schedule struct{ scale float64 }

func (s schedule) at(d time.Duration) time.Duration { return time.Duration(float64(d) * s.scale) }

func (s schedule) surge() load.Span {
	return load.Span{Start: s.at(surgeAt), End: s.at(surgeEndAt)}
}

func (s schedule) phases() []load.Phase {
	surge := s.surge()
	return []load.Phase{{Start: surge.Start, End: surge.End, Factor: surgeFactor}}
}

func (s schedule) timeline(length time.Duration) report.Timeline {
	return report.Timeline{
		Before:  load.Span{Start: s.at(warmAt), End: s.at(surgeAt)},
		Surge:   s.surge(),
		Settled: s.at(settledAt),
		Length:  s.at(length),
	}
}

// event is an event of a run, at a time relative to its start. A nil do only
// marks the event in the plot.
type event struct {
	at    time.Duration
	label string
	do    func(s *runState, ctx context.Context)
}

// commonEvents are the events of every system.
var commonEvents = []event{
	{surgeAt, "surge x3", nil},
	{slowAt, "deep replica x3 slower", (*runState).slowDeep},
	{surgeEndAt, "surge ends, deep normal", (*runState).restoreDeep},
}

// nodeEvents are the events that only pollengauge has.
var nodeEvents = []event{
	{editAt, "profiles edited", (*runState).edit},
	{platformAt, "platform down", (*runState).platformDown},
	{restartAt, "VM drained and replaced", (*runState).restart},
	{killAt, "VM killed", (*runState).kill},
	{platformUpAt, "platform up", (*runState).platformBack},
}

// runState is the state of one run, on which its events act.
type runState struct {
	deployment *Deployment
	schedule   schedule
	fleet      *fleet
	// nodes is nil when the system is not pollengauge.
	nodes *nodeFabric
	start time.Time

	mu       sync.Mutex
	marks    []report.Mark
	promises []report.Promise
	notes    []string
	// drained is the edge of the drained VM and the span of its drain.
	drained drainSpan
}

// runEvents runs the events at their times and records their marks.
func (s *runState) runEvents(ctx context.Context, events []event) {
	var group sync.WaitGroup
	for _, e := range events {
		at := s.schedule.at(e.at)
		s.marks = append(s.marks, report.Mark{At: at, Label: e.label})
		if e.do == nil {
			continue
		}
		group.Go(func() {
			objects.Pause(ctx, time.Until(s.start.Add(at)))
			if ctx.Err() == nil {
				e.do(s, ctx)
			}
		})
	}
	group.Wait()
}

func (s *runState) promise(p report.Promise) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promises = append(s.promises, p)
}

func (s *runState) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, text)
}

func (s *runState) slowDeep(context.Context) {
	s.fleet.find(s.deployment.Deep, 0).upstream.SetSlow(slowFactor)
}

func (s *runState) restoreDeep(context.Context) {
	s.fleet.find(s.deployment.Deep, 0).upstream.SetSlow(1)
}
