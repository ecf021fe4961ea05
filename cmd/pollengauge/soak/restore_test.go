package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
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
	// A paused store responds late. It must not stay down.
	restoring := fmt.Sprintf(`{"restore_ms":%d}`, loss.Milliseconds())
	f.check(await(ctx, func() bool { return f.faults(restoring) == nil }))
	f.operator.writeAgain(ctx)
	f.record.mu.Lock()
	entries := slices.Clone(f.record.entries)
	f.record.mu.Unlock()
	for i := range entries {
		if e := entries[i]; f.readEntry(ctx, &e) == nil && e.found == "" {
			f.check(await(ctx, func() bool { return f.isWritten(ctx, e) }))
		}
	}
}

// isWritten reports whether an entry is stored, after it has tried to create it. Two restores
// that overlap may both find it missing.
func (f *fleet) isWritten(ctx context.Context, e entry) bool {
	var refused storeError
	err := f.createEntry(ctx, e)
	return err == nil || errors.As(err, &refused) && refused.status == http.StatusConflict
}

// writeAgain writes the latest acknowledged version again if the store has lost it.
func (o *operator) writeAgain(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	err := await(ctx, func() bool {
		stored, err := o.store.Get(ctx, configKind, configName)
		switch {
		case errors.As(err, new(*objects.NotFoundError)):
			stored, err = o.store.Create(ctx, configKind, configName, o.latest)
		case err == nil && !slices.Equal(stored.Value, o.latest):
			stored.Value = o.latest
			stored, err = o.store.Update(ctx, stored)
		}
		if err == nil {
			o.current = stored
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

var restoresFlag = flag.Int("restores", 0, "play this many restores of the store alone, with the checks that go by the clock")

const (
	// lostChanges is the number of versions that a restore takes back, changePause the
	// time between two of them.
	lostChanges = 6
	changePause = 150 * time.Millisecond
	// settled is how long after a restore changes must be in force in time again.
	settled = 4 * time.Second
)

// Guards against nodes that stay deaf to a restored store until its revisions exceed those
// from before: each VM must get the next version, though nothing else is written.
func TestRestoredStoreIsFollowed(t *testing.T) {
	for range max(*restoresFlag, 1) {
		playRestore(t, *restoresFlag > 0)
	}
}

func playRestore(t *testing.T, timed bool) {
	c := qt.New(t)
	folder, err := os.MkdirTemp(*keepFlag, "restore-")
	c.Assert(err, qt.IsNil)
	f, err := newFleet(t.Context(), folder, *vmsFlag, fleetTerms(timed, *vmsFlag))
	defer f.close()
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	f.load(ctx, 1, thinkTime)
	pause(ctx, settled)
	for range lostChanges {
		f.operator.change(ctx)
		pause(ctx, changePause)
	}
	// The watchers must have seen the revisions that are lost.
	pause(ctx, longestAway)
	_ = f.faults(`{"down":true}`)
	pause(ctx, time.Duration(rand.Int64N(int64(longestAway))))
	_ = f.faults(fmt.Sprintf(`{"restore_ms":%d}`, settled.Milliseconds()))
	f.operator.writeAgain(ctx)
	pause(ctx, settled)
	f.operator.change(ctx)
	changed := time.Now()
	for _, v := range f.eachVM(func(v *vm) error {
		if err := await(ctx, func() bool { return f.record.probedSince(v.number, changed, services[f.operator.number%2]) }); err != nil {
			return unmetError{"in-force", v.number, "it does not get a version written after a restore of the store", err}
		}
		if took := time.Since(changed); timed && took > inForceWithin+schedulingDelay {
			return unmetError{"in-force", v.number, "a version written after a restore of the store came late", lateError{took}}
		}
		return nil
	}) {
		c.Errorf("%s", v)
	}
	stop()
	c.Assert(f.failed, qt.IsNil)
	if c.Failed() {
		c.Logf("logs are in %s", folder)
		return
	}
	c.Check(os.RemoveAll(folder), qt.IsNil)
}

// lateError reports how long a change took.
type lateError struct{ took time.Duration }

func (e lateError) Error() string { return e.took.String() }

// probedSince reports whether a service has answered on the probe route of a VM since a time.
func (r *record) probedSince(vm int, since time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.probes, func(p probe) bool { return p.vm == vm && p.at.After(since) && p.service == service })
}
