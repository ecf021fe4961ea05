package play

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pollengauge.dev/bench/experiment/workload"
	"pollengauge.dev/demo/load"
	"pollengauge.dev/objects"
)

// outcome is how an operation ended.
type outcome uint8

const (
	// lost: no whole answer to the last try, or one that tells of a failure.
	lost outcome = iota
	// refused: the last answer was that it did not run.
	refused
	// answered: with the upstream's own whole answer.
	answered
)

// operation is one operation of a caller.
type operation struct {
	kind    int
	at      time.Duration
	took    time.Duration
	outcome outcome
	tries   int
}

// plan draws when operations begin. Equal arguments give equal plans, so that
// variants of a workload get the same load.
func plan(w *workload.Workload, seed uint64) []load.Arrival {
	var all []load.Arrival
	for i := range w.Kinds {
		k := &w.Kinds[i]
		// A kind's place in the list is part of what its arrivals are drawn by.
		classes := make([]load.Class, len(w.Kinds))
		// The name is short: calls down a long chain add to it.
		classes[i] = load.Class{Name: "k" + strconv.Itoa(i), Rate: k.Rate}
		all = append(all, load.Plan(classes, phasesOf(w, k), w.Length, seed)...)
	}
	slices.SortStableFunc(all, func(a, b load.Arrival) int { return int(a.At - b.At) })
	return all
}

// Begins returns when the operations of each kind begin in the play of a seed.
func Begins(w *workload.Workload, seed uint64) [][]time.Duration {
	begins := make([][]time.Duration, len(w.Kinds))
	for _, a := range plan(w, seed) {
		begins[a.Class] = append(begins[a.Class], a.At)
	}
	return begins
}

// phasesOf gives the load of one kind as phases that don't overlap.
func phasesOf(w *workload.Workload, k *workload.Kind) []load.Phase {
	edges := []time.Duration{0, w.Length}
	for _, p := range w.Load {
		edges = append(edges, min(p.From, w.Length), min(p.To, w.Length))
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	var phases []load.Phase
	for i := range len(edges) - 1 {
		factor := 0.0
		if k.Rate > 0 {
			factor = w.RateAt(k, edges[i]) / k.Rate
		}
		phases = append(phases, load.Phase{Start: edges[i], End: edges[i+1], Factor: factor})
	}
	return phases
}

// callers send the operations of a workload.
type callers struct {
	workload *workload.Workload
	fleet    *fleet
	seed     uint64
}

// send begins each operation at its time and returns all once they have ended.
// stopped is asked before each; the operations so far are returned when it says
// yes.
func (c *callers) send(ctx context.Context, arrivals []load.Arrival, stopped func() bool) []operation {
	operations := make([]operation, len(arrivals))
	start := time.Now()
	var group sync.WaitGroup
	for i, a := range arrivals {
		if stopped() || !objects.Pause(ctx, a.At-time.Since(start)) {
			break
		}
		group.Go(func() { operations[i] = c.operation(ctx, a) })
	}
	group.Wait()
	return operations
}

// operation runs one operation to its end.
func (c *callers) operation(ctx context.Context, a load.Arrival) operation {
	k := &c.workload.Kinds[a.Class]
	habits := c.workload.Caller(k.Callers)
	unrepeatable := c.workload.Route(k.Route).Unrepeatable
	random := rand.New(rand.NewPCG(c.seed, uint64(a.At)))
	start := time.Now()
	done := operation{kind: a.Class, at: a.At}
	for done.tries < habits.Tries && ctx.Err() == nil {
		done.tries++
		id := a.Operation + trySeparator + strconv.Itoa(done.tries)
		status, after := c.try(ctx, k, habits, request{
			path: kindPrefix + k.Name + "/", id: id, timeout: habits.Timeout, unrepeatable: unrepeatable,
		}, random)
		done.outcome = outcomeOf(status)
		done.took = time.Since(start)
		again := done.outcome == refused || (done.outcome == lost && !unrepeatable)
		if !again || done.tries == habits.Tries {
			break
		}
		objects.Pause(ctx, waitOf(habits, after))
	}
	return done
}

// try sends one try from a VM of the kind's callers.
func (c *callers) try(ctx context.Context, k *workload.Kind, habits *workload.Callers, r request, random *rand.Rand) (int, time.Duration) {
	transport := c.fleet.callersOf(c.workload.CallerService(k), random)
	if transport == nil {
		return noAnswer, 0
	}
	ctx, cancel := context.WithTimeout(ctx, habits.Timeout)
	defer cancel()
	return ask(ctx, transport, r)
}

func outcomeOf(status int) outcome {
	switch status {
	case http.StatusOK:
		return answered
	case http.StatusServiceUnavailable:
		return refused
	}
	return lost
}

// waitOf is how long callers wait before the next try.
func waitOf(habits *workload.Callers, retryAfter time.Duration) time.Duration {
	if habits.Impatient {
		return habits.Backoff
	}
	return max(habits.Backoff, retryAfter)
}
