package admission

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

// fixed returns a gate whose limits don't change during a test.
func fixed(c *qt.C, config Config) *Gate {
	config.Window = time.Hour
	config.MinLimit = max(config.MinLimit, config.InitialLimit)
	g, err := NewGate(config)
	c.Assert(err, qt.IsNil)
	return g
}

// try is a call of Acquire in its own goroutine.
type try struct {
	ticket Ticket
	err    error
	ended  bool
}

func start(ctx context.Context, g *Gate, r Request) *try {
	x := &try{}
	go func() {
		x.ticket, x.err = g.Acquire(ctx, r)
		x.ended = true
	}()
	synctest.Wait()
	return x
}

func (x *try) reason() call.Reason {
	var refused *RefusedError
	if errors.As(x.err, &refused) {
		return refused.Reason
	}
	return call.ReasonNone
}

// Callers cancel at the moment at which capacity becomes free. Each must get
// one outcome: a ticket, or a refusal after which nothing runs. A lost ticket
// would leak a slot; a ticket after a refusal would run a call that was
// reported as not run.
func TestCancellationRacesDispatch(t *testing.T) {
	c := qt.New(t)
	// From minReserveLimit on, shards reserve capacity.
	for _, limit := range []int{4, minReserveLimit} {
		const rounds = 300
		callers := 4 * limit
		g := fixed(c, Config{Slots: limit, InitialLimit: limit, QueueLimit: callers, MaxQueueWait: time.Minute})
		var active, exceeded atomic.Int32
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for range rounds {
					ctx, cancel := context.WithCancel(context.Background())
					go cancel()
					ticket, err := g.Acquire(ctx, Request{})
					if err == nil {
						if active.Add(1) > int32(limit) {
							exceeded.Add(1)
						}
						runtime.Gosched()
						active.Add(-1)
						ticket.Release(Ignore)
					}
				}
			})
		}
		wg.Wait()
		s := g.Snapshot()
		c.Assert(exceeded.Load(), qt.Equals, int32(0))
		c.Assert(s.InFlight, qt.Equals, 0)
		c.Assert(s.Queued, qt.Equals, 0)
		c.Assert(s.Admitted, qt.Equals, s.Ignored)
		c.Assert(s.Admitted+s.Refused[call.ReasonCancelled], qt.Equals, uint64(callers*rounds))
		t.Logf("limit %d: %d admitted, %d cancelled in the queue", limit, s.Admitted, s.Refused[call.ReasonCancelled])
	}
}

// A call's deadline leaves less time than the service takes, on arrival or
// after a wait in the queue. The call must be refused before it is dispatched,
// because its work would be wasted.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := fixed(c, Config{Slots: 1, InitialLimit: 1, QueueLimit: 4, Preference: 1})
		busy, err := g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		g.profile("slow").learnService(50 * time.Millisecond)
		late := start(t.Context(), g, Request{Profile: "slow", Deadline: time.Now().Add(49 * time.Millisecond)})
		c.Assert(late.reason(), qt.Equals, call.ReasonDeadline)
		expires := start(t.Context(), g, Request{Level: 8, Profile: "slow", Deadline: time.Now().Add(60 * time.Millisecond)})
		patient := start(t.Context(), g, Request{Level: 6})
		time.Sleep(20 * time.Millisecond)
		busy.Release(OK)
		synctest.Wait()
		c.Assert(expires.reason(), qt.Equals, call.ReasonDeadline)
		c.Assert(patient.err, qt.IsNil)
		c.Assert(patient.ticket.Waited(), qt.Equals, 20*time.Millisecond)
	})
}

// A ticket is released twice, the second time after its visit record has been
// reused for another call. If the late release ended the other visit, the
// upstream would get more calls than it has slots.
func TestLateReleaseDoesNotEndAnotherVisit(t *testing.T) {
	c := qt.New(t)
	g := fixed(c, Config{Slots: 1, InitialLimit: 1, QueueLimit: -1, DepthAware: true})
	for range 100 {
		first, err := g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		first.Release(OK)
		second, err := g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.IsNil)
		first.Release(OK)
		first.Block()
		first.Unblock()
		c.Assert(g.InFlight(), qt.Equals, 1)
		_, err = g.Acquire(t.Context(), Request{})
		c.Assert(err, qt.ErrorMatches, "admission refused: queue-full .*")
		second.Release(OK)
	}
}

// The load that an upstream reports may be late or wrong. It must not raise the
// limit above the learned or announced value, must not starve the upstream, and
// must expire.
func TestReportedLoadOnlyLowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g, err := NewGate(Config{Slots: 100, InitialLimit: 40})
		c.Assert(err, qt.IsNil)
		for _, x := range []struct {
			load  float64
			limit int
		}{{0, 40}, {-5, 40}, {1.25, 32}, {1e9, 20}} {
			g.ReportLoad(x.load)
			c.Assert(g.Snapshot().Limit, qt.Equals, x.limit)
		}
		time.Sleep(2 * reportedLoadTTL)
		c.Assert(g.Snapshot().Limit, qt.Equals, 40)
	})
}

func TestBadConfigs(t *testing.T) {
	c := qt.New(t)
	for field, config := range map[string]Config{
		"Slots":        {Slots: -1},
		"InitialLimit": {Slots: 1, InitialLimit: 2},
		"MinLimit":     {Slots: 8, MinLimit: 9},
		"QueueLimit":   {QueueLimit: maxSlots + 1},
		"Preference":   {Preference: 1.5},
		"Window":       {Window: time.Nanosecond},
		"RampTime":     {RampTime: -1},
	} {
		_, err := NewGate(config)
		var bad *ConfigError
		c.Assert(errors.As(err, &bad), qt.IsTrue)
		c.Assert(bad.Field, qt.Equals, field)
	}
}
