package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var leavesFlag = flag.Int("leaves", 0, "play this many fresh seeds of leaves and restarts alone, or the one of -seed, with the bound of a calm machine")

// leaveFaults are the faults of a plan of leaves.
var leaveFaults = []fault{leaveByCall, leaveByCall, leaveByCall, killNode, termNode, storeDown, storeSlow, storeLoses}

// busyDrain is added to the drain time where the machine may be busy.
const busyDrain = 3 * time.Second

// Guards against requests to an upstream that has left, after the process that acknowledged it
// was killed or told to exit, with the platform's store down at times.
func TestAcknowledgedLeavesBindLaterProcesses(t *testing.T) {
	switch {
	case *leavesFlag > 0 && *seedFlag != 0:
		playLeaves(t, *seedFlag, true)
		return
	case *leavesFlag == 0:
		playLeaves(t, shortSeed, false)
		return
	}
	for range *leavesFlag {
		playLeaves(t, rand.Uint64()%1_000_000, true)
	}
}

func playLeaves(t *testing.T, seed uint64, calm bool) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		c := qt.New(t)
		folder, err := os.MkdirTemp(*keepFlag, fmt.Sprintf("leaves-%d-", seed))
		c.Assert(err, qt.IsNil)
		f, err := newFleet(t.Context(), folder, *vmsFlag, fleetTerms(false, *vmsFlag))
		defer f.close()
		c.Assert(err, qt.IsNil)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f.load(ctx, customersEach, thinkTime)
		const span = 10 * time.Second
		f.play(ctx, drawFrom(leaveFaults, []fault{leaveByCall}, seed, *vmsFlag, span))
		pause(ctx, f.terms.drain+staysOn+heartbeatDelay)
		recovery := append(f.awaitRecovery(ctx), f.awaitUpstreamsInUse(ctx)...)
		stop()
		c.Assert(f.failed, qt.IsNil)
		bounds := f.terms
		if !calm {
			bounds.drain += busyDrain
		}
		f.record.mu.Lock()
		j := newJudgement(f.record, bounds)
		j.drainingUpstreamsGetNothing()
		j.runsWereRequested()
		j.unsafeRunsOnce()
		departures, runs := len(j.drainNotices), len(j.runs)
		f.record.mu.Unlock()
		for _, v := range append(j.found, recovery...) {
			c.Errorf("seed %d: %s", seed, v)
		}
		c.Logf("seed %d: %d departures acknowledged, %d runs", seed, departures, runs)
		if c.Failed() {
			c.Logf("logs are in %s", folder)
			return
		}
		c.Check(os.RemoveAll(folder), qt.IsNil)
	})
}

// Times of an upstream that leaves without a draining heartbeat.
const (
	// leaveRepeats is how long it repeats a leave call that is not acknowledged.
	leaveRepeats = 5 * time.Second
	// staysOn is how much longer than the drain time it serves after the acknowledgement.
	staysOn = 5 * time.Second
	// heartbeatDelay is how late its last heartbeat arrives.
	heartbeatDelay = 2200 * time.Millisecond
)

// The ways in which the process of the node takes part in a leave.
const (
	nodeStays = iota
	nodeKilledAtOnce
	nodeKilledLater
	nodeTerminatedBefore
	nodeWays
)

// leaveByCall lets the upstream leave with a leave call, serve on and be replaced. Its last
// heartbeat arrives after the leave, and the process of its node may end in between.
func (v *vm) leaveByCall(ctx context.Context, s step) {
	from := time.Now()
	way := int(s.lasts * nodeWays / longestFault)
	if way == nodeTerminatedBefore {
		v.fleet.done.Go(func() { v.terminate(ctx) })
		pause(ctx, time.Second)
	}
	u := v.upstream
	late, ok := u.lastHeartbeat()
	if !ok {
		return
	}
	acknowledged := u.sendLeave(ctx, late)
	switch {
	case way == nodeKilledAtOnce:
		v.signal(syscall.SIGKILL, true)
	case way == nodeKilledLater:
		pause(ctx, time.Second)
		v.signal(syscall.SIGKILL, true)
	}
	pause(ctx, heartbeatDelay)
	u.sendHeartbeat(ctx, late)
	if acknowledged {
		pause(ctx, v.fleet.terms.drain+staysOn)
	}
	u.crash()
	_ = u.start()
	if way != nodeStays {
		add(v.fleet.record, &v.fleet.record.disturbed, disturbed{vm: v.number, from: from, to: time.Now().Add(afterEffect), fault: killNode})
	}
}

// lastHeartbeat returns the last heartbeat of the incarnation, which sends no more. It returns
// false if none is running.
func (u *upstream) lastHeartbeat() (heartbeat, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	u.silent = true
	return u.report(), u.server != nil
}

// sendLeave sends leave calls until one is acknowledged, and records that one. It returns false
// if none is.
func (u *upstream) sendLeave(ctx context.Context, b heartbeat) bool {
	for until := time.Now().Add(leaveRepeats); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, 200*time.Millisecond) {
		if u.sendLeaveOnce(ctx, b) {
			add(u.record, &u.record.drainNotices, drainNotice{instance: b.instance, incarnation: b.incarnation, vm: u.vm, at: time.Now()})
			return true
		}
	}
	return false
}

func (u *upstream) sendLeaveOnce(ctx context.Context, b heartbeat) bool {
	body, _ := json.Marshal(map[string]any{"born": b.born.UnixMilli()})
	ctx, cancel := context.WithTimeout(ctx, heartbeatWait)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.control+"/-/Instances.Leave/"+b.instance, bytes.NewReader(body))
	resp, err := u.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
