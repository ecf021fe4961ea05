package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pollengauge.dev/call"
)

// simulation runs one gate in front of one upstream with a number of
// processors, in the fake time of synctest. Arrivals are random with a fixed
// seed.
type simulation struct {
	config    Config
	cpus      int
	work      time.Duration
	deep      func(at time.Duration) time.Duration // time blocked in a downstream call
	rate      func(at time.Duration) float64       // calls per second
	level     func(r *rand.Rand) call.Level
	feedback  bool
	length    time.Duration
	seed      uint64
	deadline  time.Duration
	retries   int
	onArrival func(at time.Duration, g *Gate)
}

// bin counts the calls that arrived within one tenth of a second.
type bin struct {
	offered, ok, late      int
	important, importantOK int
	waits                  []time.Duration
}

const (
	binWidth = 100 * time.Millisecond
	rootTrip = 4 * time.Millisecond
	// importantLevel is the lowest level of calls counted as important.
	importantLevel = call.Level(10) << 7
)

func (s simulation) run(t *testing.T) (bins []bin, g *Gate) {
	c := qt.New(t)
	bins = make([]bin, int(s.length/binWidth)+1)
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, s.seed))
		var err error
		g, err = NewGate(s.config)
		c.Assert(err, qt.IsNil)
		f, err := NewFeedback(FeedbackConfig{})
		c.Assert(err, qt.IsNil)
		cpu := make(chan struct{}, s.cpus)
		var mu sync.Mutex
		var calls sync.WaitGroup
		start := time.Now()
		for time.Since(start) < s.length {
			at := time.Since(start)
			b := &bins[at/binWidth]
			if s.onArrival != nil {
				s.onArrival(at, g)
			}
			level := s.level(r)
			calls.Go(func() {
				result, took := s.call(g, f, cpu, level, start)
				mu.Lock()
				defer mu.Unlock()
				b.count(level, result)
				if result == OK {
					b.waits = append(b.waits, took)
				}
			})
			time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / s.rate(at)))
		}
		calls.Wait()
	})
	return bins, g
}

func (b *bin) count(level call.Level, result Result) {
	b.offered++
	if level >= importantLevel {
		b.important++
	}
	switch result {
	case OK:
		b.ok++
		if level >= importantLevel {
			b.importantOK++
		}
	case Failed:
		b.late++
	}
}

// call makes one call and, if it is refused, retries it after the RetryAfter
// that it got.
func (s simulation) call(g *Gate, f *Feedback, cpu chan struct{}, level call.Level, start time.Time) (Result, time.Duration) {
	begin := time.Now()
	result, retryAfter := s.attempt(g, f, cpu, level, start)
	for range s.retries {
		if result != Shed {
			break
		}
		time.Sleep(max(retryAfter, 50*time.Millisecond))
		result, retryAfter = s.attempt(g, f, cpu, level, start)
	}
	return result, time.Since(begin)
}

func (s simulation) attempt(g *Gate, f *Feedback, cpu chan struct{}, level call.Level, start time.Time) (Result, time.Duration) {
	begin := time.Now()
	if s.feedback {
		if ok, _ := f.Admit("p", level, begin); !ok {
			return Shed, 0
		}
		time.Sleep(rootTrip / 2)
		defer func() { time.Sleep(rootTrip / 2); f.Observe("p", g.AdmitLevel(), time.Now()) }()
	}
	ticket, err := g.Acquire(context.Background(), Request{Level: level, Profile: "p", Deadline: begin.Add(s.deadline)})
	var refused *RefusedError
	if errors.As(err, &refused) {
		return Shed, refused.RetryAfter
	}
	cpu <- struct{}{}
	time.Sleep(s.work)
	<-cpu
	if s.deep != nil {
		ticket.Block()
		time.Sleep(s.deep(time.Since(start)))
		ticket.Unblock()
	}
	result := OK
	if time.Since(begin) > s.deadline {
		result = Failed
	}
	ticket.Release(result)
	return result, 0
}

func sum(bins []bin, from, to time.Duration) (total bin) {
	for _, b := range bins[from/binWidth : to/binWidth] {
		total.offered += b.offered
		total.ok += b.ok
		total.late += b.late
		total.important += b.important
		total.waits = append(total.waits, b.waits...)
		total.importantOK += b.importantOK
	}
	return total
}

// percentile returns the time within which p percent of the served calls were
// served.
func (b bin) percentile(p int) time.Duration {
	slices.Sort(b.waits)
	return b.waits[len(b.waits)*p/100]
}

// lostSeconds returns the sum over the bins of the share of calls not served,
// multiplied by the width of a bin.
func lostSeconds(bins []bin) float64 {
	lost := 0.0
	for _, b := range bins {
		if b.offered > 0 {
			lost += float64(b.offered-b.ok) / float64(b.offered) * binWidth.Seconds()
		}
	}
	return lost
}
