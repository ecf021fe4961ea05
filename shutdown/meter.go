package shutdown

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is how long times are collected before a new window begins. A quantile covers
	// the current window and the one before it.
	window = 15 * time.Second
	// minSamples is the number of times that a quantile needs.
	minSamples = 8
	// maxProfiles bounds the number of measured profiles, at the value of
	// config.MaxProfiles.
	maxProfiles = 256
	// Range and precision of a histogram. Quantiles are rounded up by a sixteenth at most,
	// and a histogram takes about 2 KB.
	lowestMillis      = 1
	highestMillis     = int64(2 * time.Minute / time.Millisecond)
	significantDigits = 1
	percent           = 100
)

// Meter measures how long the requests of each profile take. The zero value is ready to use,
// and its methods may be called concurrently.
type Meter struct {
	mu       sync.Mutex
	profiles map[string]*durations
}

// durations are the times of one profile.
type durations struct {
	current, previous *hdrhistogram.Histogram
	began             time.Time
}

// Add records the time of a request that ended now.
func (m *Meter) Add(profile string, took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.profiles[profile]
	if d == nil {
		if len(m.profiles) >= maxProfiles {
			return
		}
		if m.profiles == nil {
			m.profiles = make(map[string]*durations)
		}
		d = &durations{current: newHistogram(), previous: newHistogram(), began: now}
		m.profiles[profile] = d
	}
	d.rotate(now)
	// The value is in range.
	_ = d.current.RecordValue(min(max(took.Milliseconds(), lowestMillis), highestMillis))
}

// Quantile returns a quantile (0 to 1) of the recent times of a profile, 0 if there are too few.
func (m *Meter) Quantile(profile string, q float64, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.profiles[profile]
	if d == nil {
		return 0
	}
	d.rotate(now)
	recent := newHistogram()
	recent.Merge(d.previous)
	recent.Merge(d.current)
	if recent.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(recent.ValueAtQuantile(q*percent)) * time.Millisecond
}

// rotate begins a new window if the time of the current one is over.
func (d *durations) rotate(now time.Time) {
	age := now.Sub(d.began)
	if age < window {
		return
	}
	d.current, d.previous = d.previous, d.current
	d.current.Reset()
	if age >= 2*window {
		d.previous.Reset()
	}
	d.began = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMillis, highestMillis, significantDigits)
}
