package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fault is a kind of fault.
type fault string

// The kinds of faults.
const (
	killNode        fault = "kill"
	termNode        fault = "term"
	pauseNode       fault = "pause"
	reloadNode      fault = "reload"
	rewriteSettings fault = "rewrite"
	crashUpstream   fault = "crash-upstream"
	replaceUpstream fault = "replace-upstream"
	slowUpstream    fault = "slow-upstream"
	faultyUpstream  fault = "faulty-upstream"
	cutStore        fault = "cut-store"
	cutPeers        fault = "cut-peers"
	cutOneWay       fault = "cut-one-way"
	silenceLinks    fault = "silence"
	resetLinks      fault = "reset"
	delayLinks      fault = "delay"
	storeDown       fault = "store-down"
	storeSlow       fault = "store-slow"
	storeLoses      fault = "store-loses"
	storeForgets    fault = "store-forgets"
	storePaused     fault = "store-paused"
	changeConfig    fault = "change"
	killAll         fault = "kill-all"
	restartUpstream fault = "restart-upstream"
	manyUploads     fault = "many-uploads"
	otherWriter     fault = "other-writer"
	fatalRequest    fault = "fatal-request"
	limitUpstream   fault = "limit-upstream"
	leaveByAnswer   fault = "leave-by-answer"
	leaveByCall     fault = "leave-by-call"
	restoreStore    fault = "restore-store"
	// growConfig is not in the list of drawn faults: each plan has the same number
	// of growths.
	growConfig fault = "grow"
)

var faults = []fault{
	killNode, termNode, pauseNode, reloadNode, rewriteSettings, crashUpstream, replaceUpstream, slowUpstream,
	faultyUpstream, cutStore, cutPeers, cutOneWay, silenceLinks, resetLinks, delayLinks, storeDown, storeSlow,
	storeLoses, storeForgets, storePaused, changeConfig, killAll,
	restartUpstream, manyUploads, otherWriter, fatalRequest, limitUpstream, leaveByAnswer,
	restoreStore, leaveByCall,
}

// inEveryPlan are faults that each plan contains at least once, so that their checkers
// always have something to judge.
var inEveryPlan = []fault{restartUpstream, manyUploads, otherWriter, fatalRequest, limitUpstream, leaveByAnswer, restoreStore, leaveByCall, faultyUpstream}

// step is one fault of a plan.
type step struct {
	at    time.Duration
	fault fault
	vms   []int
	// lasts is the duration of faults that have one.
	lasts time.Duration
}

// Shape of a plan.
const (
	faultsPerSecond = 1.2
	// repeatProbability is the probability that a fault is repeated within a second, on one
	// randomly drawn VM.
	repeatProbability = 0.35
	longestFault      = 3 * time.Second
	mostAtOnce        = 3
	// changesPerSecond is how often the operator changes the configuration, in
	// addition to the drawn faults, so that changes coincide with all kinds of
	// faults.
	changesPerSecond = 0.7
)

// draw returns the plan of a seed: overlapping series of faults, sorted by time.
func draw(seed uint64, vms int, span time.Duration) []step {
	return drawFrom(faults, inEveryPlan, seed, vms, span)
}

// drawFrom is draw with some of the faults only.
func drawFrom(faults, inEveryPlan []fault, seed uint64, vms int, span time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	var steps []step
	for range int(span.Seconds() * faultsPerSecond) {
		s := step{at: time.Duration(r.Int64N(int64(span))), fault: faults[r.IntN(len(faults))], lasts: time.Duration(r.Int64N(int64(longestFault)))}
		s.vms = r.Perm(vms)[:1+r.IntN(min(mostAtOnce, vms))]
		steps = append(steps, s)
		for again := s; r.Float64() < repeatProbability; {
			again.at += time.Duration(r.Int64N(int64(time.Second)))
			again.vms = r.Perm(vms)[:1]
			steps = append(steps, again)
		}
	}
	for range int(span.Seconds() * changesPerSecond) {
		steps = append(steps, step{at: time.Duration(r.Int64N(int64(span))), fault: changeConfig})
	}
	for _, kind := range inEveryPlan {
		steps = append(steps, step{at: time.Duration(r.Int64N(int64(span))), fault: kind, vms: r.Perm(vms)[:1], lasts: time.Duration(r.Int64N(int64(longestFault)))})
	}
	if *growFlag {
		for range mostGrowths {
			steps = append(steps, step{at: time.Duration(r.Int64N(int64(span / 2))), fault: growConfig})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	return steps
}

// A seed that failed must give the same faults when it is played again.
func TestPlanFollowsFromItsSeed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		c.Check(draw(seed, 6, 10*time.Second), qt.CmpEquals(cmpSteps), draw(seed, 6, 10*time.Second))
	}
	c.Check(fmt.Sprint(draw(1, 6, 10*time.Second)), qt.Not(qt.Equals), fmt.Sprint(draw(2, 6, 10*time.Second)))
}

// play starts each step of a plan at its time. It does not wait for the faults to
// end.
func (f *fleet) play(ctx context.Context, steps []step) {
	start := time.Now()
	for _, s := range steps {
		pause(ctx, time.Until(start.Add(s.at)))
		if ctx.Err() != nil {
			return
		}
		f.done.Go(func() { f.inject(ctx, s) })
	}
}

// afterEffect is how long traffic that a fault delayed may still arrive after the
// fault.
const afterEffect = 3 * time.Second

// inject injects one fault and removes it after its duration.
func (f *fleet) inject(ctx context.Context, s step) {
	from := time.Now()
	switch s.fault {
	case storeDown, storeSlow, storeLoses, storeForgets, storePaused, restoreStore:
		f.injectAtStore(ctx, s)
		add(f.record, &f.record.disturbed, disturbed{vm: everyVM, from: from, to: time.Now().Add(afterEffect), fault: s.fault})
	case growConfig:
		f.operator.grow(ctx)
	case otherWriter:
		f.writeForeign(ctx)
	case changeConfig:
		f.operator.change(ctx)
		return
	case fatalRequest:
		f.sendFatal(ctx, f.vms[s.vms[0]])
		return
	default:
		vms := s.vms
		if s.fault == killAll {
			vms = nil
			for i := range f.vms {
				vms = append(vms, i)
			}
		}
		for _, i := range vms {
			f.done.Go(func() {
				f.injectAtVM(ctx, f.vms[i], s)
				add(f.record, &f.record.disturbed, disturbed{vm: i, from: from, to: time.Now().Add(afterEffect), fault: s.fault})
			})
		}
	}
}

func (f *fleet) injectAtStore(ctx context.Context, s step) {
	texts := map[fault]string{storeDown: `{"down":true}`, storeSlow: `{"delay_ms":400}`, storeLoses: `{"drop_probability":0.4}`, storeForgets: `{"compact":true}`}
	if s.fault == restoreStore {
		f.restore(ctx)
		return
	}
	if s.fault == storePaused {
		_ = f.store.Signal(syscall.SIGSTOP)
		pause(ctx, s.lasts)
		_ = f.store.Signal(syscall.SIGCONT)
		return
	}
	// The error is ignored: a paused store does not respond to this request.
	_ = f.faults(texts[s.fault])
	pause(ctx, s.lasts)
	_ = f.faults("{}")
}

// injectAtVM injects a fault at one VM, and returns when the fault is over.
func (f *fleet) injectAtVM(ctx context.Context, v *vm, s step) {
	switch s.fault {
	case killNode, killAll:
		v.signal(syscall.SIGKILL, true)
	case termNode:
		v.terminate(ctx)
	case pauseNode:
		v.signal(syscall.SIGSTOP, false)
		pause(ctx, s.lasts)
		v.signal(syscall.SIGCONT, false)
	case reloadNode:
		f.check(v.writeSettings(int(s.at)))
		v.signal(syscall.SIGHUP, false)
	case rewriteSettings:
		f.check(v.writeSettings(int(s.at)))
	case leaveByCall:
		v.leaveByCall(ctx, s)
	default:
		f.injectAtUpstream(ctx, v, s)
		f.injectAtLinks(ctx, v, s)
	}
}

func (f *fleet) injectAtUpstream(ctx context.Context, v *vm, s step) {
	u := v.upstream
	switch s.fault {
	case crashUpstream:
		u.crash()
		pause(ctx, s.lasts)
		f.check(u.start())
	case replaceUpstream:
		u.replace(ctx, f.terms.drain)
	case limitUpstream:
		u.nameLimit(ctx)
	case leaveByAnswer:
		u.leave(ctx, f.terms.drain)
	case restartUpstream:
		f.check(u.restart(ctx, s.lasts))
	case manyUploads:
		f.uploadBurst(ctx, v)
	case slowUpstream:
		u.work.Store(int64(40 * usualWork))
		pause(ctx, s.lasts)
		u.work.Store(int64(usualWork))
	case faultyUpstream:
		u.odds.Store(&odds{lose: 0.1, truncate: 0.05, extra: 0.05, unframed: 0.05, shed: 0.1, malformed: 0.05, reset: 0.2})
		pause(ctx, s.lasts)
		u.odds.Store(&odds{})
	}
}

func (f *fleet) injectAtLinks(ctx context.Context, v *vm, s step) {
	between := []*proxy{v.proxies[portPeerProxy], v.proxies[portGossipProxy]}
	switch s.fault {
	case cutStore:
		blockFor(ctx, s.lasts, true, v.proxies[portStoreProxy])
	case cutPeers:
		blockFor(ctx, s.lasts, true, between...)
	case cutOneWay:
		blockFor(ctx, s.lasts, false, between...)
	case silenceLinks:
		for _, p := range v.proxies {
			p.silence()
		}
	case resetLinks:
		for _, p := range v.proxies {
			p.resetAll()
		}
	case delayLinks:
		for _, p := range v.proxies {
			p.slow(20 * time.Millisecond)
		}
		pause(ctx, s.lasts)
		for _, p := range v.proxies {
			p.slow(0)
		}
	}
}

func blockFor(ctx context.Context, d time.Duration, bothWays bool, proxies ...*proxy) {
	for _, p := range proxies {
		p.block(true, bothWays)
	}
	pause(ctx, d)
	for _, p := range proxies {
		p.block(false, false)
	}
}

func (f *fleet) check(err error) {
	if err != nil {
		f.fail(err)
	}
}
