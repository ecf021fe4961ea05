package soak

import (
	"context"
	"slices"
	"time"
)

// servedWithin is the longest time until an upstream that restarted under the same
// instance id gets its first request. It covers the slow start, and the time until
// nodes learn of the restart.
const servedWithin = 6 * time.Second

// restartedUpstreamsWork checks that an upstream gets requests again after it restarted
// under the same instance id and had a heartbeat acknowledged.
func (j *judgement) restartedUpstreamsWork() {
	firsts := make(map[[2]int]restarted)
	for _, r := range j.restarts {
		if _, ok := firsts[[2]int{r.vm, r.incarnation}]; !ok {
			firsts[[2]int{r.vm, r.incarnation}] = r
		}
	}
	for _, r := range firsts {
		until := r.at.Add(servedWithin)
		worked := slices.ContainsFunc(j.runs, func(x run) bool { return x.vm == r.vm && x.incarnation == r.incarnation })
		if !worked && j.undisturbed(r, until) {
			j.add("return", "VM %d: its upstream restarted under the same instance id at %s and got no request", r.vm, r.at.Format(time.StampMilli))
		}
	}
}

// undisturbed reports whether the record covers the span from a restart until a time,
// and the VM had no fault in this span other than the restart itself: a further restart
// that begins within the span counts as a fault.
func (j *judgement) undisturbed(r restarted, until time.Time) bool {
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

// awaitUpstreamsInUse waits until each upstream has run a request. All upstreams must get
// requests eventually, however busy the machine is.
func (f *fleet) awaitUpstreamsInUse(ctx context.Context) []violation {
	since := time.Now()
	return f.eachVM(func(v *vm) error {
		if err := await(ctx, func() bool { return f.record.ran(v.number, since) }); err != nil {
			return unmetError{"return", v.number, "its upstream gets no requests", err}
		}
		return nil
	})
}

// ran reports whether a VM's upstream has run a request since a time.
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
