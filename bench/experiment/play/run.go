package play

import (
	"context"
	"time"

	"pollengauge.dev/bench/experiment/virtual"
	"pollengauge.dev/bench/experiment/workload"
)

// settle is left to operations that are open when the load ends.
const settle = 15 * time.Second

// Run plays a workload once. stopped is asked often, from inside of the play; it
// may not wait. The error is a *StartError or a *StoppedError.
func Run(w *workload.Workload, seed uint64, stopped func() bool) (Result, error) {
	var result Result
	var err error
	virtual.Run(func() { result, err = inBubble(w, seed, stopped) })
	return result, err
}

func inBubble(w *workload.Workload, seed uint64, stopped func() bool) (Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := newMeter()
	f, err := newFleet(ctx, w, seed, m, stopped)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	start := time.Now()
	m.count(start.Add(w.Warm), start.Add(w.Length))
	loaded, end := context.WithTimeout(ctx, w.Length+settle)
	defer end()
	failed := make(chan error, 1)
	go func() { failed <- f.inject(loaded, changesOf(w.Faults)) }()
	c := &callers{workload: w, fleet: f, seed: seed}
	operations := c.send(loaded, plan(w, seed), stopped)
	end()
	if err := <-failed; err != nil {
		return Result{}, err
	}
	if stopped() {
		return Result{}, &StoppedError{}
	}
	return resultOf(w, operations, m), nil
}
