package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"pollengauge.dev/cmd/pollengauge/internal/cli"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "play the plan of this seed only")
	seedsFlag = flag.Int("seeds", 0, "play this many fresh seeds, with the checks that go by the clock")
	forFlag   = flag.Duration("for", 4*time.Second, "how long the faults of one seed last")
	vmsFlag   = flag.Int("vms", 6, "VMs of the fleet")
	growFlag  = flag.Bool("grow", true, "let the configuration grow to some 4,200 routes")
	keepFlag  = flag.String("keep", os.TempDir(), "folder for the logs of seeds that failed")
)

var cmpSteps = cmp.AllowUnexported(step{})

// TestMain runs the tests, or, in a child process that a test started, the real
// command line.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// regressions are seeds that failed in the past, with the reason.
var regressions = []struct {
	seed uint64
	why  string
}{}

// shortSeed is the seed played if no flag selects one.
const shortSeed = 1

// Load of a fleet.
const (
	customersEach = 3
	thinkTime     = 40 * time.Millisecond
)

// Customers keep sending while VMs, upstreams, links and the store have overlapping
// series of faults. Each promise must hold throughout, and every VM must serve its
// customers again after all faults have ended.
func TestPromisesHoldUnderDrawnFaults(t *testing.T) {
	switch {
	case *seedFlag != 0:
		playSeed(t, *seedFlag, true)
	case *seedsFlag > 0:
		for range *seedsFlag {
			playSeed(t, rand.Uint64()%1_000_000, true)
		}
	default:
		playSeed(t, shortSeed, false)
		for _, r := range regressions {
			playSeed(t, r.seed, false)
		}
	}
}

// playSeed plays one seed as a subtest. Without timed it omits the checks that depend
// on elapsed time, so that the result doesn't depend on how busy the machine is.
func playSeed(t *testing.T, seed uint64, timed bool) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		c := qt.New(t)
		folder, err := os.MkdirTemp(*keepFlag, fmt.Sprintf("soak-%d-", seed))
		c.Assert(err, qt.IsNil)
		found, summary := soak(t.Context(), c, folder, seed, timed)
		c.Logf("seed %d: %s", seed, summary)
		for _, v := range found {
			c.Errorf("seed %d: %s", seed, v)
		}
		if c.Failed() {
			c.Logf("logs are in %s", folder)
			return
		}
		c.Check(os.RemoveAll(folder), qt.IsNil)
	})
}

// soak plays a seed and returns the violations and a summary.
func soak(ctx context.Context, c *qt.C, folder string, seed uint64, timed bool) ([]violation, string) {
	f, err := newFleet(ctx, folder, *vmsFlag, fleetTerms(timed, *vmsFlag))
	defer f.close()
	c.Assert(err, qt.IsNil)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	f.load(loadCtx, customersEach, thinkTime)
	steps := draw(seed, *vmsFlag, *forFlag)
	f.play(ctx, steps)
	// After this pause the longest fault and the drain of any upstream are over.
	pause(ctx, longestFault+f.terms.drain+time.Second)
	recovery := f.awaitRecovery(ctx)
	recovery = append(recovery, f.awaitAddedRoutes(ctx)...)
	recovery = append(recovery, f.awaitUpstreamsInUse(ctx)...)
	stopLoad()
	f.readForeign(ctx)
	// Wait for late runs: requests that were refused or given up must not run later
	// either.
	pause(ctx, customerDeadline)
	c.Assert(f.failed, qt.IsNil)
	return append(append(judge(f.record, f.terms), recovery...), f.logs()...), f.summary(len(steps))
}

// awaitRecovery waits until each VM has recovered, and returns a violation for each one
// that has not.
func (f *fleet) awaitRecovery(ctx context.Context) []violation {
	return f.eachVM(func(v *vm) error {
		err := await(ctx, func() bool {
			return f.record.recovered(v.number, time.Now().Add(-recoveryWindow), f.terms.vms)
		})
		if err != nil {
			return unmetError{"recovery", v.number, "its customers are not served again", err}
		}
		return nil
	})
}

// unmetError reports a condition that a VM had to reach and did not.
type unmetError struct {
	rule  string
	vm    int
	what  string
	cause error
}

func (e unmetError) Error() string { return fmt.Sprintf("VM %d: %s: %v", e.vm, e.what, e.cause) }

// eachVM runs wait for all VMs concurrently, and returns a violation for each VM where
// wait returns an unmetError.
func (f *fleet) eachVM(wait func(v *vm) error) []violation {
	var mu sync.Mutex
	var found []violation
	var waiting sync.WaitGroup
	for _, v := range f.vms {
		waiting.Go(func() {
			var never unmetError
			if errors.As(wait(v), &never) {
				mu.Lock()
				defer mu.Unlock()
				found = append(found, violation{never.rule, never.Error()})
			}
		})
	}
	waiting.Wait()
	return found
}
