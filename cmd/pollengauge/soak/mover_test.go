package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Habits of customers that change zones.
const (
	stayFor      = time.Second
	mostSendings = 3
)

// otherZone returns the VM of the same service in the next zone, nil if there is
// none.
func (f *fleet) otherZone(v *vm) *vm {
	for _, other := range f.vms {
		if other.zone != v.zone && other.upstream.service == v.upstream.service {
			return other
		}
	}
	return nil
}

// mover sends to a VM of one zone and then of the other, with a connection to
// both. A refused request goes under its id to the other zone at once.
func (f *fleet) mover(ctx context.Context, v *vm) {
	other := f.otherZone(v)
	if other == nil {
		return
	}
	here, there := v, other
	client := directClient()
	for moved := time.Now(); ctx.Err() == nil; pause(ctx, thinkTime) {
		f.visitZones(ctx, here, there, client)
		if time.Since(moved) > stayFor {
			here, there = there, here
			moved = time.Now()
		}
	}
}

func (f *fleet) visitZones(ctx context.Context, here, there *vm, client *http.Client) {
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

// sendingOf tells which sending of its request a run belongs to: the last one
// before it.
func (j *judgement) sendingOf(x run) int {
	n := 0
	for _, at := range j.sendings[x.id] {
		if !at.After(x.at) {
			n++
		}
	}
	return n
}

// ranBeforeNext tells whether a request ran before the customer that was given
// an answer sent it again.
func (j *judgement) ranBeforeNext(a answered) bool {
	return slices.ContainsFunc(j.runsOf[a.id], func(x run) bool {
		resent := slices.ContainsFunc(j.sendings[a.id], func(at time.Time) bool { return at.After(a.at) && !at.After(x.at) })
		return x.executed && !resent
	})
}
