package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/objects"
)

// execution is the state of a request that the upstream serves.
type execution struct {
	server *Server
	entry  *Entry
	stamp  Stamp
	header http.Header
	// begun reports whether the upstream's own work has begun.
	begun bool
}

func (u *Server) serve(w http.ResponseWriter, r *http.Request, name string, route Route) {
	stamp, err := ParseStamp(r.Header.Get(HeaderOperation))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.arrived.Store(time.Now().UnixNano())
	parent, _ := strconv.ParseUint(r.Header.Get(headerCaller), decimal, 64)
	entry := u.settings.Ledger.Arrive(stamp.Operation, Execution{
		Parent:  parent,
		Try:     stamp.Try,
		Service: u.settings.Service,
		Route:   name,
		Replica: u.settings.Replica,
		Once:    route.Once,
	})
	x := &execution{server: u, entry: entry, stamp: stamp, header: r.Header}
	if failed := x.run(r.Context(), route); failed != nil {
		entry.GiveUp()
		failed.write(w)
		return
	}
	entry.Finish()
	answer := Answer{Stamp: stamp, Service: u.settings.Service, Route: name}
	_, _ = w.Write(answer.Bytes())
}

// run waits for a worker and executes the steps of the route.
func (x *execution) run(ctx context.Context, route Route) *failure {
	u := x.server
	u.queued.Add(1)
	err := u.workers.Acquire(ctx, 1)
	u.queued.Add(-1)
	if err != nil {
		return disconnectFailure()
	}
	defer u.workers.Release(1)
	u.busy.Add(1)
	defer u.busy.Add(-1)
	for _, step := range route.Steps {
		if failed := x.step(ctx, step); failed != nil {
			return failed
		}
	}
	return nil
}

func (x *execution) step(ctx context.Context, step Step) *failure {
	if len(step.Calls) > 0 {
		return x.calls(ctx, step.Calls)
	}
	return x.work(ctx, step.Work)
}

// work sleeps for one service time, longer if the upstream is slow or frozen.
// It stops early when the caller disconnects.
func (x *execution) work(ctx context.Context, d Distribution) *failure {
	u := x.server
	if !u.faults.awaitThaw(ctx) {
		return disconnectFailure()
	}
	start := time.Now()
	x.begun = true
	x.entry.Begin(start)
	took := time.Duration(float64(u.draw(d)) * u.faults.slowFactor())
	finished := objects.Pause(ctx, took) && u.faults.awaitThaw(ctx)
	x.entry.AddWork(time.Since(start))
	if !finished {
		return disconnectFailure()
	}
	return nil
}

func (u *Server) draw(d Distribution) time.Duration {
	u.randomMu.Lock()
	defer u.randomMu.Unlock()
	return d.Draw(u.random)
}
