package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Behaviour of customers that move between availability zones.
const (
	stayFor      = time.Second
	mostSendings = 3
)

// otherZone returns the first VM of the same service in another zone, or nil if
// there is none.
func (f *fleet) otherZone(v *vm) *vm {
	for _, other := range f.vms {
		if other.zone != v.zone && other.upstream.service == v.upstream.service {
			return other
		}
	}
	return nil
}

// mover sends requests to VMs of two zones in turn, staying at least stayFor in each, with a
// connection to both. A request that failed and may be retried goes to the other zone
// at once, under the same id.
func (f *fleet) mover(ctx context.Context, v *vm) {
	other := f.otherZone(v)
	if other == nil {
		return
	}
	here, there := v, other
	client := directClient()
	for moved := time.Now(); ctx.Err() == nil; pause(ctx, thinkTime) {
		f.sendAcrossZones(ctx, here, there, client)
		if time.Since(moved) > stayFor {
			here, there = there, here
			moved = time.Now()
		}
	}
}

func (f *fleet) sendAcrossZones(ctx context.Context, here, there *vm, client *http.Client) {
	s := sent{id: newID(), method: http.MethodGet, path: pathBrowse, unsafe: rand.IntN(2) == 0, origin: here.upstream.service}
	s.chooseTenant()
	if s.unsafe {
		s.method, s.path = http.MethodPost, pathFile
		s.body = strings.Repeat(s.id, 1+rand.IntN(100))
	}
	s.path += s.id
	for range mostSendings {
		s.vm, s.at = here.number, time.Now()
		a := f.exchange(ctx, here, client, s, customerDeadline)
		if a.success() || ctx.Err() != nil || s.unsafe && !promisesNotRun(a.status) {
			return
		}
		here, there = there, here
	}
}

// sendingOf returns the 1-based number of the sending that a run belongs to: the last
// one before the run, or 0 if there is none.
func (j *judgement) sendingOf(x run) int {
	n := 0
	for _, at := range j.sendings[x.id] {
		if !at.After(x.at) {
			n++
		}
	}
	return n
}

// ranBeforeNext reports whether a request ran at any time, except after its customer
// sent it again following this response.
func (j *judgement) ranBeforeNext(a answered) bool {
	return slices.ContainsFunc(j.runsOf[a.id], func(x run) bool {
		resent := slices.ContainsFunc(j.sendings[a.id], func(at time.Time) bool { return at.After(a.at) && !at.After(x.at) })
		return x.executed && !resent
	})
}
