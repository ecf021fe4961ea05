package observe

import (
	"net/http"

	"github.com/HdrHistogram/hdrhistogram-go"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// encoder converts a family to the message type of the exposition library. It
// returns nil if the family has no series to show.
type encoder func() *dto.MetricFamily

// bucketBounds are the upper bounds of exported buckets, in microseconds. They
// are the same on all nodes, so that buckets can be summed over a fleet.
var bucketBounds = []int64{
	50, 100, 200, 400, 640, 1_000, 2_000, 5_000, 10_000, 20_000, 50_000,
	100_000, 200_000, 500_000, 1_000_000, 2_000_000, 5_000_000, 10_000_000, 30_000_000,
}

const microsPerSecond = 1e6

// ServeHTTP implements http.Handler. It writes the metrics in the Prometheus text
// format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	for _, hook := range m.hooks {
		hook()
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, encode := range m.families {
		f := encode()
		if f == nil {
			continue
		}
		if err := encoder.Encode(f); err != nil {
			// The scraper closed the connection, so the error can't be reported to it.
			return
		}
	}
}

func (m *Metrics) counters(metric Metric) Counters {
	f := newFamily(m.registry, metric, metrics.NewCounter)
	m.expose(metric, func(add func([]string, *dto.Metric)) {
		f.each(func(values []string, c metrics.Counter) { add(values, numberMetric(metric.Kind, float64(c.Count()))) })
	})
	return Counters{f}
}

// sparseCounters omits series at zero. A profile has close to a hundred
// combinations of outcome and reason, and only a handful of them ever occur.
func (m *Metrics) sparseCounters(metric Metric) Counters {
	f := newFamily(m.registry, metric, metrics.NewCounter)
	m.expose(metric, func(add func([]string, *dto.Metric)) {
		f.each(func(values []string, c metrics.Counter) {
			if n := c.Count(); n != 0 {
				add(values, numberMetric(metric.Kind, float64(n)))
			}
		})
	})
	return Counters{f}
}

func (m *Metrics) gauges(metric Metric) Gauges {
	f := newFamily(m.registry, metric, metrics.NewGauge)
	m.expose(metric, func(add func([]string, *dto.Metric)) {
		f.each(func(values []string, g metrics.Gauge) { add(values, numberMetric(metric.Kind, float64(g.Value()))) })
	})
	return Gauges{f}
}

func (m *Metrics) floatGauges(metric Metric) FloatGauges {
	f := newFamily(m.registry, metric, metrics.NewGaugeFloat64)
	m.expose(metric, func(add func([]string, *dto.Metric)) {
		f.each(func(values []string, g metrics.GaugeFloat64) { add(values, numberMetric(metric.Kind, g.Value())) })
	})
	return FloatGauges{f}
}

func (m *Metrics) histograms(metric Metric) Histograms {
	f := newFamily(m.registry, metric, NewHistogram)
	m.expose(metric, func(add func([]string, *dto.Metric)) {
		f.each(func(values []string, h *Histogram) { add(values, histogramMetric(h)) })
	})
	return Histograms{f}
}

// expose adds a family to the metrics page. collect passes each series of the
// family to add.
func (m *Metrics) expose(metric Metric, collect func(add func(values []string, series *dto.Metric))) {
	kinds := map[MetricKind]dto.MetricType{
		CounterKind:   dto.MetricType_COUNTER,
		GaugeKind:     dto.MetricType_GAUGE,
		HistogramKind: dto.MetricType_HISTOGRAM,
	}
	m.families = append(m.families, func() *dto.MetricFamily {
		f := &dto.MetricFamily{Name: &metric.Name, Help: &metric.Meaning, Type: kinds[metric.Kind].Enum()}
		collect(func(values []string, series *dto.Metric) {
			for i, label := range metric.Labels {
				series.Label = append(series.Label, &dto.LabelPair{Name: &label, Value: &values[i]})
			}
			f.Metric = append(f.Metric, series)
		})
		if len(f.Metric) == 0 {
			return nil
		}
		return f
	})
}

func numberMetric(kind MetricKind, value float64) *dto.Metric {
	if kind == CounterKind {
		return &dto.Metric{Counter: &dto.Counter{Value: &value}}
	}
	return &dto.Metric{Gauge: &dto.Gauge{Value: &value}}
}

func histogramMetric(h *Histogram) *dto.Metric {
	all, micros := h.totals()
	count := uint64(all.TotalCount())
	seconds := float64(micros) / microsPerSecond
	exported := &dto.Histogram{SampleCount: &count, SampleSum: &seconds}
	for i, n := range cumulative(all) {
		bound := float64(bucketBounds[i]) / microsPerSecond
		exported.Bucket = append(exported.Bucket, &dto.Bucket{UpperBound: &bound, CumulativeCount: &n})
	}
	return &dto.Metric{Histogram: exported}
}

// cumulative counts the values at or below each bound. A bar of the histogram
// belongs to the bucket that contains the bar's upper end, which is at most 1 %
// above the values counted in it.
func cumulative(h *hdrhistogram.Histogram) []uint64 {
	counts := make([]uint64, len(bucketBounds))
	var below uint64
	i := 0
	for _, bar := range h.Distribution() {
		for i < len(counts) && bar.To > bucketBounds[i] {
			counts[i] = below
			i++
		}
		below += uint64(bar.Count)
	}
	for ; i < len(counts); i++ {
		counts[i] = below
	}
	return counts
}
