package inflight

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that is counted twice, or that no total accounts for.
func TestEachRequestEndsOnce(t *testing.T) {
	c := qt.New(t)
	var r Registry
	start := time.Unix(1000, 0)
	var all sync.WaitGroup
	for i := range 400 {
		q := r.Begin("edge", start)
		switch i % 4 {
		case 0:
			all.Go(q.Answered)
			all.Go(func() { q.Cut() })
		case 1:
			all.Go(q.Answered)
		case 2:
			all.Go(func() { q.Cut() })
		}
	}
	r.CutUnserved()
	all.Wait()
	counts := r.Counts()
	c.Check(counts.Read, qt.Equals, int64(401))
	c.Check(counts.Open, qt.Equals, int64(100))
	c.Check(counts.Answered+counts.Cut, qt.Equals, int64(301))
	c.Check(r.Open(), qt.HasLen, 100)
}

// The requests that hold up a drain are listed with the oldest first.
func TestOpenRequestsAreListedByAge(t *testing.T) {
	c := qt.New(t)
	var r Registry
	start := time.Unix(1000, 0)
	for i := range 20 {
		r.Begin("edge", start.Add(time.Duration(i*7%20)*time.Second))
	}
	open := r.Open()
	for i, q := range open {
		c.Check(q.Age(start.Add(20*time.Second)), qt.Equals, time.Duration(20-i)*time.Second)
	}
	open[0].SetID("a")
	c.Check(open[0].ID(), qt.Equals, "a")
	c.Check(open[1].ID(), qt.Equals, "")
}

// Handlers of requests that are not tracked use a nil *Request.
func TestNilRequestHasNoEffect(t *testing.T) {
	c := qt.New(t)
	var q *Request
	q.SetID("a")
	q.Answered()
	c.Check(q.Cut(), qt.IsFalse)
}

// Guards against a request that begins to wait while the waits are being ended, and waits
// on.
func TestInterruptEndsEachWaitOnce(t *testing.T) {
	c := qt.New(t)
	var r Registry
	start := time.Unix(1000, 0)
	waiting, answering, late := r.Begin("edge", start), r.Begin("edge", start), r.Begin("edge", start)
	ended := 0
	waiting.OnInterrupt(func() { ended++ })
	answering.OnInterrupt(func() { ended++ })
	answering.OnInterrupt(nil)
	r.Interrupt()
	c.Check(ended, qt.Equals, 1)
	late.OnInterrupt(func() { ended++ })
	c.Check(ended, qt.Equals, 2)
	r.Interrupt()
	c.Check(ended, qt.Equals, 2)
}
