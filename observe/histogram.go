package observe

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Range and precision of a Histogram. Two significant digits over a range from
// one microsecond to two minutes take about 20 KB, with an error of less than 1 %.
const (
	lowestMicros      = 1
	highestMicros     = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 2
	percent           = 100
)

// Histogram counts durations. Count, Sum and the exported buckets cover all
// values since the process started; Recent covers the current and the previous
// window.
//
// It is an HdrHistogram under one lock. The samples of go-metrics retain a random
// selection of values: they can't be combined over nodes, and they mostly miss a
// tail of one value in a thousand.
type Histogram struct {
	mu sync.Mutex
	// current is the window being filled; it is not yet part of total.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	// sum is the sum of all values, in microseconds.
	sum int64
}

var _ metrics.Histogram = (*Histogram)(nil)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{current: newWindow(), previous: newWindow(), total: newWindow()}
}

func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// Observe counts one duration. Values outside of the range are clamped.
func (h *Histogram) Observe(d time.Duration) { h.Update(d.Microseconds()) }

// Update counts one duration in microseconds.
func (h *Histogram) Update(micros int64) {
	micros = min(max(micros, 0), highestMicros)
	h.mu.Lock()
	// Clamped values are always in range.
	_ = h.current.RecordValue(micros)
	h.sum += micros
	h.mu.Unlock()
}

// Rotate starts a new window; the current one becomes the previous one.
func (h *Histogram) Rotate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total.Merge(h.current)
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
}

// Recent returns a percentile (0 to 100) of the current and previous window.
func (h *Histogram) Recent(percentile float64) time.Duration {
	recent := newWindow()
	h.mu.Lock()
	recent.Merge(h.previous)
	recent.Merge(h.current)
	h.mu.Unlock()
	return time.Duration(recent.ValueAtQuantile(percentile)) * time.Microsecond
}

// totals returns the counts and the sum since the process started.
func (h *Histogram) totals() (*hdrhistogram.Histogram, int64) {
	merged := newWindow()
	h.mu.Lock()
	defer h.mu.Unlock()
	merged.Merge(h.total)
	merged.Merge(h.current)
	return merged, h.sum
}

// The methods below make Histogram a metrics.Histogram, so that reporters of
// go-metrics can read it. All values are in microseconds.

// Clear implements metrics.Histogram.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current.Reset()
	h.previous.Reset()
	h.total.Reset()
	h.sum = 0
}

// Count implements metrics.Histogram.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total.TotalCount() + h.current.TotalCount()
}

// Sum implements metrics.Histogram.
func (h *Histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Max implements metrics.Histogram.
func (h *Histogram) Max() int64 {
	all, _ := h.totals()
	return all.Max()
}

// Min implements metrics.Histogram.
func (h *Histogram) Min() int64 {
	all, _ := h.totals()
	return all.Min()
}

// Mean implements metrics.Histogram.
func (h *Histogram) Mean() float64 {
	all, _ := h.totals()
	return all.Mean()
}

// Percentile implements metrics.Histogram; p is from 0 to 1.
func (h *Histogram) Percentile(p float64) float64 {
	all, _ := h.totals()
	return float64(all.ValueAtQuantile(p * percent))
}

// Percentiles implements metrics.Histogram.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	all, _ := h.totals()
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = float64(all.ValueAtQuantile(p * percent))
	}
	return values
}

// StdDev implements metrics.Histogram.
func (h *Histogram) StdDev() float64 {
	all, _ := h.totals()
	return all.StdDev()
}

// Variance implements metrics.Histogram.
func (h *Histogram) Variance() float64 {
	deviation := h.StdDev()
	return deviation * deviation
}

// Sample implements metrics.Histogram. It returns an empty sample, because a
// Histogram counts every value instead of sampling.
func (h *Histogram) Sample() metrics.Sample { return metrics.NilSample{} }

// Snapshot implements metrics.Histogram.
func (h *Histogram) Snapshot() metrics.Histogram {
	total, sum := h.totals()
	return &Histogram{current: newWindow(), previous: newWindow(), total: total, sum: sum}
}
