package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of a restore of the store.
const (
	longestAway = time.Second
	longestLoss = 3 * time.Second
	// watchBackoff is the longest pause of a watch that failed.
	watchBackoff = 4 * time.Second
	// inForceWithin is how long after its acknowledgement a version must be in force.
	inForceWithin = 2 * time.Second
)

// restore takes the store away for a moment and restores it from a copy that is some seconds
// old. What the operator and the other program have written since is written again.
func (f *fleet) restore(ctx context.Context) {
	away := time.Duration(rand.Int64N(int64(longestAway)))
	loss := away + time.Duration(rand.Int64N(int64(longestLoss)))
	_ = f.faults(`{"down":true}`)
	pause(ctx, away)
	// A paused store responds to this request late, and is restored then.
	_ = f.faults(fmt.Sprintf(`{"restore_ms":%d}`, loss.Milliseconds()))
	f.operator.writeAgain(ctx)
	f.record.mu.Lock()
	entries := slices.Clone(f.record.entries)
	f.record.mu.Unlock()
	for i := range entries {
		if e := entries[i]; f.readEntry(ctx, &e) == nil && e.found == "" {
			f.check(await(ctx, func() bool { return f.createEntry(ctx, e) == nil }))
		}
	}
}

// writeAgain writes the latest acknowledged version again if the store has lost it.
func (o *operator) writeAgain(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	err := await(ctx, func() bool {
		stored, err := o.store.Get(ctx, configKind, configName)
		if err != nil {
			return false
		}
		o.current = stored
		if o.latest == nil || slices.Equal(stored.Value, o.latest) {
			return true
		}
		stored.Value = o.latest
		written, err := o.store.Update(ctx, stored)
		if err == nil {
			o.current = written
		}
		return err == nil
	})
	if err != nil && ctx.Err() == nil {
		o.fleet.fail(err)
	}
}

// versionsAreInForceInTime checks that the probe responses of a VM, while it and the store
// have no fault, match a version that is not older than one acknowledged inForceWithin
// before.
func (j *judgement) versionsAreInForceInTime() {
	for _, p := range j.probes {
		oldest := -1
		for i, v := range j.versions {
			if !v.ackedAt.IsZero() && v.ackedAt.Add(inForceWithin+schedulingDelay).Before(p.at) {
				oldest = i
			}
		}
		if oldest < 0 {
			continue
		}
		allowed := slices.ContainsFunc(j.versions[oldest:], func(v version) bool { return v.probe == p.service && v.sentAt.Before(p.at) })
		from := j.versions[oldest].ackedAt.Add(-watchBackoff)
		if !allowed && j.calm(p.vm, from, p.at) && j.calm(everyVM, from, p.at) {
			j.add("in-force", "VM %d still had a version before %d at %s, %s after its acknowledgement", p.vm, j.versions[oldest].number, p.at.Format(time.StampMilli), p.at.Sub(j.versions[oldest].ackedAt))
			return
		}
	}
}
