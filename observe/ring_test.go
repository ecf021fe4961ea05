package observe

import (
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

func TestRingKeepsNewest(t *testing.T) {
	c := qt.New(t)
	r := NewRing(ringShards * 4)
	r.Add(Hop{})
	c.Assert(r.Recent(Filter{}, 10), qt.HasLen, 1)
	start := time.Unix(1_000_000, 0)
	for i := range 1000 {
		h := Hop{RequestID: strconv.Itoa(i / 2), At: start.Add(time.Duration(i)), Depth: i % 2, Decision: Admitted, Outcome: call.Complete}
		if i%10 == 0 {
			h.Decision, h.Outcome, h.Reason = Refused, call.NotRun, call.ReasonLevel
		}
		r.Add(h)
	}
	hops := r.Find("499")
	c.Assert(hops, qt.HasLen, 2)
	c.Assert(hops[0].Depth, qt.Equals, 0)
	c.Assert(r.Find("0"), qt.HasLen, 0)
	recent := r.Recent(Filter{}, 3)
	c.Assert(recent, qt.HasLen, 3)
	c.Assert(recent[0].At, qt.Equals, start.Add(999))
	refused := r.Recent(Filter{Decision: Refused, Outcome: "not-run", Reason: call.ReasonLevel}, 1000)
	c.Assert(len(refused) > 0 && len(refused) < ringShards*4, qt.IsTrue)
	for _, h := range refused {
		c.Assert(h.Decision, qt.Equals, Refused)
	}
	c.Assert(r.Recent(Filter{Profile: "none"}, 10), qt.HasLen, 0)
	c.Assert(r.Recent(Filter{}, -1), qt.HasLen, 0)
}

// Calls add hops while an operator reads the ring. The test is meant for the race
// detector.
func TestRingConcurrently(t *testing.T) {
	c := qt.New(t)
	r := NewRing(64)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 500 {
				r.Add(Hop{RequestID: strconv.Itoa(i), Node: strconv.Itoa(worker)})
				r.Find(strconv.Itoa(i))
				r.Recent(Filter{}, 5)
			}
		})
	}
	wg.Wait()
	c.Assert(len(r.Recent(Filter{}, 1000)) <= 64, qt.IsTrue)
}

// The admin API passes hops to the command line as JSON. Each field must survive
// the round trip, including the zero outcome, and an unknown outcome must be an
// error.
func TestHopJSON(t *testing.T) {
	c := qt.New(t)
	for _, h := range append(refusedDownstream(), Hop{}) {
		h.Key = RedactKey("a-key-that-opens-an-answer")
		text, err := json.Marshal(h)
		c.Assert(err, qt.IsNil)
		c.Assert(string(text), qt.Contains, `"outcome":"`+h.Outcome.String()+`"`)
		var back Hop
		c.Assert(json.Unmarshal(text, &back), qt.IsNil)
		c.Assert(back, qt.DeepEquals, h)
	}
	var h Hop
	c.Assert(json.Unmarshal([]byte(`{"outcome":"done"}`), &h), qt.ErrorAs, new(*call.HeaderError))
	c.Assert(json.Unmarshal([]byte(`{"trace":"zz","outcome":"unknown"}`), &h), qt.IsNotNil)
	c.Assert(RedactKey("a-key-that-opens-an-answer"), qt.Not(qt.Contains), "opens")
	c.Assert(RedactKey("short"), qt.Not(qt.Contains), "sho")
}

// Recording is part of every call, so it must not allocate.
func TestRecordingAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	r := NewRing(DefaultRingSize)
	m := NewMetrics(MetricsConfig{})
	p := m.Profile("tracking")
	p.Retry("allowed")
	h := refusedDownstream()[0]
	allocs := testing.AllocsPerRun(1000, func() {
		h.SpanID = NewSpanID()
		r.Add(h)
		p = m.Profile("tracking")
		p.Call(call.NotRun, call.ReasonLevel)
		p.Refused(call.ReasonLevel)
		p.Retry("allowed")
		p.QueueWait.Observe(time.Millisecond)
	})
	c.Assert(allocs, qt.Equals, 0.0)
}
