package soak

import (
	"context"
	"slices"
	"time"
)

// returnWithin is how long an upstream that started again under its id may wait
// for its first request: a slow start, and the news of it.
const returnWithin = 6 * time.Second

// returnedUpstreamsWork: an upstream that starts again under its id, and whose
// heartbeat was acknowledged, gets requests again.
func (j *judgement) returnedUpstreamsWork() {
	firsts := make(map[[2]int]comeback)
	for _, r := range j.returns {
		if _, ok := firsts[[2]int{r.vm, r.life}]; !ok {
			firsts[[2]int{r.vm, r.life}] = r
		}
	}
	for _, r := range firsts {
		until := r.at.Add(returnWithin)
		worked := slices.ContainsFunc(j.runs, func(x run) bool { return x.vm == r.vm && x.life == r.life })
		if !worked && j.undisturbed(r, until) {
			j.add("return", "VM %d: its upstream came back under its id at %s and got nothing", r.vm, r.at.Format(time.StampMilli))
		}
	}
}

// undisturbed tells whether nothing but restarts befell a VM in a span that the
// record covers.
func (j *judgement) undisturbed(r comeback, until time.Time) bool {
	if len(j.answers) == 0 || j.answers[len(j.answers)-1].at.Before(until) {
		return false
	}
	return !slices.ContainsFunc(j.disturbed, func(d disturbed) bool {
		if d.vm == r.vm && d.fault == restartUpstream {
			return d.from.After(r.at) && d.from.Before(until)
		}
		return (d.vm == r.vm || d.vm == everyVM) && d.from.Before(until) && d.to.After(r.at)
	})
}

// idleUpstreams waits until each upstream has run something: however busy the
// machine is, all of them are in use in the end.
func (f *fleet) idleUpstreams(ctx context.Context) []violation {
	since := time.Now()
	return f.eachVM(func(v *vm) error {
		if err := await(ctx, func() bool { return f.record.ran(v.number, since) }); err != nil {
			return neverError{"return", v.number, "its upstream gets nothing", err}
		}
		return nil
	})
}

// ran tells whether a VM's upstream has run something since a time.
func (r *record) ran(vm int, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.runs) - 1; i >= 0 && r.runs[i].at.After(since); i-- {
		if r.runs[i].vm == vm && r.runs[i].executed {
			return true
		}
	}
	return false
}
