package observe

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"pollengauge.dev/call"
)

// BenchmarkHop measures the work of a node per hop: a new span id and a record in
// the ring.
func BenchmarkHop(b *testing.B) {
	r := NewRing(DefaultRingSize)
	h := refusedDownstream()[0]
	b.ReportAllocs()
	for b.Loop() {
		h.SpanID = NewSpanID()
		r.Add(h)
	}
}

func BenchmarkHopParallel(b *testing.B) {
	r := NewRing(DefaultRingSize)
	ids := [8]string{"a", "b", "c", "d", "e", "f", "g", "h"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		h := refusedDownstream()[0]
		for i := 0; pb.Next(); i++ {
			h.RequestID = ids[i%len(ids)]
			r.Add(h)
		}
	})
}

// ringProcessor stores the last spans of the SDK, as Ring does with hops.
type ringProcessor struct {
	sdktrace.SpanProcessor
	mu    sync.Mutex
	slots [DefaultRingSize]sdktrace.ReadOnlySpan
	next  int
}

func (*ringProcessor) OnStart(context.Context, sdktrace.ReadWriteSpan) {}
func (*ringProcessor) Shutdown(context.Context) error                  { return nil }
func (p *ringProcessor) OnEnd(s sdktrace.ReadOnlySpan) {
	p.mu.Lock()
	p.slots[p.next%len(p.slots)] = s
	p.next++
	p.mu.Unlock()
}

// BenchmarkSDKSpan measures the alternative to BenchmarkHop that the package
// doesn't use: a span of the OpenTelemetry SDK for every hop.
func BenchmarkSDKSpan(b *testing.B) {
	e := newExporter(ExporterConfig{}, sdktrace.WithSpanProcessor(&ringProcessor{}))
	defer func() { _ = e.Shutdown(context.Background()) }()
	h := refusedDownstream()[0]
	b.ReportAllocs()
	for b.Loop() {
		e.record(h)
	}
}

func BenchmarkParseTrace(b *testing.B) {
	header := NewTrace(1).String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseTrace(header); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseTraceLibrary(b *testing.B) {
	carrier := propagation.MapCarrier{"traceparent": NewTrace(1).String()}
	b.ReportAllocs()
	for b.Loop() {
		propagation.TraceContext{}.Extract(context.Background(), carrier)
	}
}

func BenchmarkCall(b *testing.B) {
	m := NewMetrics(MetricsConfig{})
	b.ReportAllocs()
	for b.Loop() {
		m.Profile("tracking").Call(call.NotRun, call.ReasonTimeout)
	}
}

func BenchmarkHistogram(b *testing.B) { benchmarkHistogram(b, NewHistogram()) }

func BenchmarkHistogramUniformSample(b *testing.B) {
	benchmarkHistogram(b, metrics.NewHistogram(metrics.NewUniformSample(1028)))
}

func BenchmarkHistogramExpDecaySample(b *testing.B) {
	benchmarkHistogram(b, metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)))
}

func benchmarkHistogram(b *testing.B, h metrics.Histogram) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := int64(0); pb.Next(); i++ {
			h.Update(i % 10_000)
		}
	})
}

func BenchmarkEmitLeftOut(b *testing.B) {
	l, err := NewLogger(LoggerConfig{Output: discard{}, EventRate: 1e-9, EventBurst: 1})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Emit(QueueFull, Int("queue", 7), Dur("waited", time.Second))
	}
}

// BenchmarkNewRing and BenchmarkNewHistogram show the memory of a ring and of a
// histogram as B/op.
func BenchmarkNewRing(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		NewRing(DefaultRingSize)
	}
}

func BenchmarkNewHistogram(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		NewHistogram()
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func BenchmarkScrape(b *testing.B) {
	m := NewMetrics(MetricsConfig{})
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		m.Profile(name).Call(call.Complete, call.ReasonNone)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.ServeHTTP(&discardResponse{}, nil)
	}
}

type discardResponse struct{ discard }

func (*discardResponse) Header() http.Header { return http.Header{} }
func (*discardResponse) WriteHeader(int)     {}
