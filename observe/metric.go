package observe

import (
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// MetricKind is the type of a metric family.
type MetricKind string

// The kinds of metrics, named as in the Prometheus text format.
const (
	CounterKind   MetricKind = "counter"
	GaugeKind     MetricKind = "gauge"
	HistogramKind MetricKind = "histogram"
)

// Metric describes one metric family. Names and labels are part of the public API.
type Metric struct {
	Name    string
	Kind    MetricKind
	Unit    string
	Labels  []string
	Meaning string
}

const (
	// MaxSeries bounds the series of one family. Further label values share the
	// value "other", so that names sent by a faulty peer can't fill the memory of
	// the node. The bound is large enough for all outcomes and reasons of all
	// profiles with their own metrics (maxProfiles).
	MaxSeries = 16384
	other     = "other"
)

// family holds the series of one Metric.
type family[T any] struct {
	metric   Metric
	registry metrics.Registry
	create   func() T

	mu     sync.RWMutex
	series map[string]*series[T]
}

// series is one combination of label values.
type series[T any] struct {
	values []string
	handle T
}

func newFamily[T any](registry metrics.Registry, metric Metric, create func() T) *family[T] {
	return &family[T]{metric: metric, registry: registry, create: create, series: make(map[string]*series[T])}
}

// With returns the series with these label values, in the order of
// Metric.Labels, and creates it if needed. Code on the path of a call should
// store the returned handle.
func (f *family[T]) With(values ...string) T {
	key := seriesKey(values)
	f.mu.RLock()
	found := f.series[key]
	f.mu.RUnlock()
	if found != nil {
		return found.handle
	}
	return f.add(key, values)
}

func (f *family[T]) add(key string, values []string) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.series) >= MaxSeries {
		values = slices.Repeat([]string{other}, len(f.metric.Labels))
		key = seriesKey(values)
	}
	if found := f.series[key]; found != nil {
		return found.handle
	}
	made := &series[T]{values: slices.Clone(values), handle: f.create()}
	f.series[key] = made
	// Register can't fail with a duplicate name: family names are unique, and so
	// are the keys within a family.
	_ = f.registry.Register(f.metric.Name+"{"+key+"}", made.handle)
	return made.handle
}

// Remove removes the series with these label values.
func (f *family[T]) Remove(values ...string) {
	key := seriesKey(values)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.series[key] != nil {
		delete(f.series, key)
		f.registry.Unregister(f.metric.Name + "{" + key + "}")
	}
}

// each calls visit for each series, ordered by label values.
func (f *family[T]) each(visit func(values []string, handle T)) {
	f.mu.RLock()
	all := make([]*series[T], 0, len(f.series))
	for _, s := range f.series {
		all = append(all, s)
	}
	f.mu.RUnlock()
	slices.SortFunc(all, func(a, b *series[T]) int { return slices.Compare(a.values, b.values) })
	for _, s := range all {
		visit(s.values, s.handle)
	}
}

const labelSeparator = "\xff"

func seriesKey(values []string) string {
	if len(values) == 1 {
		return values[0]
	}
	return strings.Join(values, labelSeparator)
}

// Counters is a family of counters.
type Counters struct{ *family[metrics.Counter] }

// Gauges is a family of integer gauges.
type Gauges struct{ *family[metrics.Gauge] }

// FloatGauges is a family of floating-point gauges.
type FloatGauges struct{ *family[metrics.GaugeFloat64] }

// Histograms is a family of duration histograms.
type Histograms struct{ *family[*Histogram] }
