// Package bound computes what the slots of a workload could earn at most from the
// operations that began, if all were known beforehand and none were in another's
// way.
//
// It is a bound and not a plan: queues, distances and the order of calls are left
// out, faults are as well, and service times count with their means. A play whose
// draws are shorter than the mean may come a little above.
package bound

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"pollengauge.dev/bench/experiment/workload"
	"pollengauge.dev/demo/upstream"
)

// SolveError means that the solver gave up.
type SolveError struct{ Cause error }

// Error implements error.
func (e *SolveError) Error() string { return "bound: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SolveError) Unwrap() error { return e.Cause }

// Begins has the times at which the operations of each kind begin, in the order of
// the workload's kinds.
type Begins [][]time.Duration

// Most returns the highest worth a second. It is that of the whole counted time
// or the sum over the parts in which the rates stay the same, whichever is less:
// the first would let an idle minute serve a later surge, the second counts the
// slots twice on which requests of one part run into the next.
func Most(w *workload.Workload, begins Begins) (float64, error) {
	whole, err := inPart(w, begins, part{from: w.Warm, to: w.Length})
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for _, p := range partsOf(w) {
		most, err := inPart(w, begins, p)
		if err != nil {
			return 0, err
		}
		sum += most
	}
	return min(whole, sum) / (w.Length - w.Warm).Seconds(), nil
}

// part is a part of a workload's time.
type part struct{ from, to time.Duration }

// partsOf cuts the counted time where a rate changes.
func partsOf(w *workload.Workload) []part {
	edges := []time.Duration{w.Warm, w.Length}
	for _, p := range w.Load {
		for _, edge := range []time.Duration{p.From, p.To} {
			if edge > w.Warm && edge < w.Length {
				edges = append(edges, edge)
			}
		}
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	var parts []part
	for i := range len(edges) - 1 {
		parts = append(parts, part{edges[i], edges[i+1]})
	}
	return parts
}

// inPart returns the highest worth of what begins in a part. Its requests have
// the slots until the last deadline after it.
func inPart(w *workload.Workload, begins Begins, p part) (float64, error) {
	began := make([]float64, len(w.Kinds))
	last := time.Duration(0)
	for i := range w.Kinds {
		began[i] = float64(p.count(begins[i]))
		last = max(last, w.Kinds[i].Deadline)
	}
	seconds := (p.to - p.from + last).Seconds()
	slots := make([]float64, len(w.Services))
	for i := range w.Services {
		slots[i] = capacity(w, &w.Services[i]) * seconds
	}
	return solve(w, began, slots)
}

// count returns how many times are in the part.
func (p part) count(times []time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= p.from && at < p.to {
			count++
		}
	}
	return count
}

// solve finds how many of each kind to run, at most those that began, so that no
// service needs more than its slots and the worth is highest.
func solve(w *workload.Workload, began, slots []float64) (float64, error) {
	kinds, rows := len(began), len(began)+len(slots)
	// Each row has a variable of its own that takes up what is left, so that all
	// are equations and running nothing is a first solution.
	a := mat.NewDense(rows, kinds+rows, nil)
	b := slices.Concat(began, slots)
	cost := make([]float64, kinds+rows)
	basis := make([]int, rows)
	for row := range rows {
		a.Set(row, kinds+row, 1)
		basis[row] = kinds + row
	}
	for i := range w.Kinds {
		a.Set(i, i, 1)
		cost[i] = -w.Kinds[i].Worth
		for j, seconds := range Demand(w, &w.Kinds[i]) {
			a.Set(kinds+j, i, seconds)
		}
	}
	const tolerance = 1e-9
	least, _, err := lp.Simplex(cost, a, b, tolerance, basis)
	if err != nil {
		return 0, &SolveError{Cause: err}
	}
	return -least, nil
}

// Demand is the slot time that one operation takes of each service at least, in
// seconds.
func Demand(w *workload.Workload, k *workload.Kind) []float64 {
	seconds := make([]float64, len(w.Services))
	hold(w, w.Route(k.Route), seconds)
	return seconds
}

// hold adds what a request takes, with its calls, and returns how long it holds
// its own slot: its work and its calls, of those made together the longest.
func hold(w *workload.Workload, route *workload.Route, seconds []float64) float64 {
	own := 0.0
	place := slices.IndexFunc(w.Services, func(s workload.Service) bool { return s.Name == route.Service })
	for _, step := range route.Steps {
		own += upstream.Distribution(step.Work).Mean().Seconds() / fastest(&w.Services[place])
		for _, name := range step.InTurn {
			own += hold(w, w.Route(name), seconds)
		}
		longest := 0.0
		for _, name := range step.Together {
			longest = max(longest, hold(w, w.Route(name), seconds))
		}
		own += longest
	}
	seconds[place] += own
	return own
}

func fastest(s *workload.Service) float64 {
	if len(s.Speeds) == 0 {
		return 1
	}
	return slices.Max(s.Speeds)
}

// capacity is the slots of a service, counted as of its fastest replicas. Slots
// of slower ones count less, but as whole ones where requests make calls: what
// they wait for is no slower there.
func capacity(w *workload.Workload, s *workload.Service) float64 {
	sum := 0.0
	for replica := range s.Replicas {
		part := 1.0
		if !makesCalls(w, s.Name) {
			part = s.Speed(replica) / fastest(s)
		}
		sum += float64(s.Slots) * part
	}
	return sum
}

func makesCalls(w *workload.Workload, service string) bool {
	return slices.ContainsFunc(w.Routes, func(r workload.Route) bool {
		return r.Service == service && slices.ContainsFunc(r.Steps, func(s workload.Step) bool {
			return len(s.InTurn)+len(s.Together) > 0
		})
	})
}
