package play

import (
	"cmp"
	"context"
	"slices"
	"time"

	"pollengauge.dev/bench/experiment/workload"
	"pollengauge.dev/objects"
)

// change is the begin or the end of a fault.
type change struct {
	at    time.Duration
	fault *workload.Fault
	begin bool
}

// changesOf lists the changes by time. An end goes before a begin at its time.
func changesOf(faults []workload.Fault) []change {
	var changes []change
	for i := range faults {
		fault := &faults[i]
		changes = append(changes,
			change{at: fault.At, fault: fault, begin: true},
			change{at: fault.At + fault.For, fault: fault})
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		switch {
		case a.at != b.at:
			return cmp.Compare(a.at, b.at)
		case a.begin != b.begin && b.begin:
			return -1
		}
		return 0
	})
	return changes
}

// inject makes the changes, one after another, until ctx ends. Of faults of one
// kind that overlap on a VM, the last change holds.
func (f *fleet) inject(ctx context.Context, changes []change) error {
	start := time.Now()
	for _, c := range changes {
		if !objects.Pause(ctx, c.at-time.Since(start)) {
			return nil
		}
		for _, v := range f.hit(c.fault) {
			if err := f.make(ctx, c, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// hit returns the VMs that a fault hits.
func (f *fleet) hit(fault *workload.Fault) []*vm {
	var hit []*vm
	for _, v := range f.vms {
		if v.service.Name == fault.Service && (len(fault.Replicas) == 0 || slices.Contains(fault.Replicas, v.replica)) {
			hit = append(hit, v)
		}
	}
	return hit
}

func (f *fleet) make(ctx context.Context, c change, v *vm) error {
	switch c.fault.Kind {
	case workload.Slow:
		factor := 1.0
		if c.begin {
			factor = c.fault.Factor
		}
		v.upstream.setSlow(factor)
	case workload.Freeze:
		f.freeze(v, c.begin)
	case workload.Crash:
		return f.crash(ctx, v, c.begin)
	case workload.Limit:
		v.upstream.nameLimit(c.fault.Rate, c.begin)
	case workload.Leave:
		return f.replace(ctx, v, c.begin)
	case workload.Cut:
		f.cut(v, c.fault.With, c.begin)
	case workload.Delay:
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.delays, v.name)
		if c.begin {
			f.delays[v.name] = c.fault.Delay
		}
	}
	return nil
}

// freeze pauses a VM with the callers on it.
func (f *fleet) freeze(v *vm, begin bool) {
	if begin {
		f.setDown(v)
		f.network.Freeze(v.name)
		return
	}
	f.network.Thaw(v.name)
	f.setUp(v)
}

// crash takes a VM away with the callers on it, or starts it anew.
func (f *fleet) crash(ctx context.Context, v *vm, begin bool) error {
	if !begin {
		return f.boot(ctx, v)
	}
	f.setDown(v)
	f.network.Kill(v.name)
	v.shut()
	return nil
}

// replace has the upstream of a VM state that it leaves, or replaces the VM.
func (f *fleet) replace(ctx context.Context, v *vm, begin bool) error {
	if begin {
		v.upstream.leave()
		return nil
	}
	if err := f.crash(ctx, v, true); err != nil {
		return err
	}
	return f.crash(ctx, v, false)
}

// cut breaks the connections between a VM and all of another service.
func (f *fleet) cut(v *vm, with string, begin bool) {
	act := f.network.Heal
	if begin {
		act = f.network.Cut
	}
	for _, other := range f.vms {
		if other.service.Name == with && other != v {
			act(v.name, other.name)
			act(other.name, v.name)
		}
	}
}

// delay is the way from one host to another, with what faults add.
func (f *fleet) delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.network.Delay(from, to) + f.delays[from] + f.delays[to]
}
