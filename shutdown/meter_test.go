package shutdown

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an expectation that is too low, or taken from a few requests.
func TestQuantiles(t *testing.T) {
	c := qt.New(t)
	var m Meter
	for i := range 100 {
		if i < minSamples {
			c.Check(m.Quantile("read", 0.5, testStart), qt.Equals, time.Duration(0))
		}
		m.Add("read", time.Duration(i+1)*10*time.Millisecond, testStart)
	}
	for q, exact := range map[float64]time.Duration{0.5: 500 * time.Millisecond, 0.99: 990 * time.Millisecond} {
		got := m.Quantile("read", q, testStart)
		c.Check(got >= exact && got <= exact*17/16+time.Millisecond, qt.IsTrue, qt.Commentf("%v: %s", q, got))
	}
	c.Check(m.Quantile("write", 0.5, testStart), qt.Equals, time.Duration(0))
}

// Guards against an expectation from a time when the upstream was slower or faster.
func TestOldTimesAreForgotten(t *testing.T) {
	c := qt.New(t)
	var m Meter
	for range 100 {
		m.Add("read", 4*time.Second, testStart)
	}
	now := testStart.Add(window)
	for range 100 {
		m.Add("read", 10*time.Millisecond, now)
	}
	c.Check(m.Quantile("read", 0.99, now) > time.Second, qt.IsTrue)
	now = now.Add(window)
	c.Check(m.Quantile("read", 0.99, now) < time.Second, qt.IsTrue)
	c.Check(m.Quantile("read", 0.99, now.Add(time.Minute)), qt.Equals, time.Duration(0))
}

// Guards against memory that grows with the profiles, and against times outside the range.
func TestMeterIsBounded(t *testing.T) {
	c := qt.New(t)
	var m Meter
	for i := range 2 * maxProfiles {
		for _, took := range []time.Duration{-time.Second, 0, time.Hour} {
			m.Add(fmt.Sprint(i), took, testStart)
		}
	}
	c.Check(m.profiles, qt.HasLen, maxProfiles)
	c.Check(m.profiles["0"].current.TotalCount(), qt.Equals, int64(3))
}

// A request costs a lock and no allocation.
func TestAddAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	var m Meter
	m.Add("read", time.Millisecond, testStart)
	c.Check(testing.AllocsPerRun(100, func() { m.Add("read", time.Millisecond, testStart) }), qt.Equals, 0.0)
}
