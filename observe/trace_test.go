package observe

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// The tracing of callers reads the headers that nodes write and vice versa, so
// ParseTrace must agree with the OpenTelemetry library on every header.
func TestTraceParentAgreesWithLibrary(t *testing.T) {
	c := qt.New(t)
	headers := []string{
		NewTrace(1).String(), NewTrace(0).String(), NewTrace(1).Child().String(), "",
		"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		"00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
		"00-00000000000000000000000000000000-00f067aa0ba902b7-01",
		"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
		"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0g",
		"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
		"01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
		"01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01more",
		"ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		"00_4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7_01",
	}
	for _, header := range headers {
		carrier := propagation.MapCarrier{"traceparent": header}
		want := trace.SpanContextFromContext(propagation.TraceContext{}.Extract(context.Background(), carrier))
		got, err := ParseTrace(header)
		c.Assert(err == nil, qt.Equals, want.IsValid(), qt.Commentf("%s", header))
		c.Assert(trace.TraceID(got.TraceID), qt.Equals, want.TraceID())
		c.Assert(trace.SpanID(got.SpanID), qt.Equals, want.SpanID())
		c.Assert(got.Sampled, qt.Equals, want.IsSampled())
	}
}

// The spans of several nodes form one trace only if they have the ids from the
// headers. The collector must receive them as OTLP over HTTP.
func TestExportOverHTTP(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	var got collector.ExportTraceServiceRequest
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		body, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		c.Check(r.URL.Path, qt.Equals, "/v1/traces")
		c.Check(proto.UnmarshalOptions{Merge: true}.Unmarshal(body, &got), qt.IsNil)
	}))
	defer server.Close()
	e, err := NewExporter(context.Background(), ExporterConfig{Endpoint: server.URL, Node: "pr-2"})
	c.Assert(err, qt.IsNil)
	hops := refusedDownstream()
	for _, h := range hops {
		e.Add(h)
		h.Sampled = false
		e.Add(h)
	}
	c.Assert(e.Shutdown(context.Background()), qt.IsNil)
	spans := got.GetResourceSpans()[0].GetScopeSpans()[0].GetSpans()
	c.Assert(spans, qt.HasLen, len(hops))
	for i, span := range spans {
		c.Assert(TraceID(span.GetTraceId()), qt.Equals, hops[i].TraceID)
		c.Assert(SpanID(span.GetSpanId()), qt.Equals, hops[i].SpanID)
		c.Assert(span.GetEndTimeUnixNano()-span.GetStartTimeUnixNano(), qt.Equals, uint64(hops[i].Took))
	}
	c.Assert(SpanID(spans[1].GetParentSpanId()), qt.Equals, hops[1].ParentSpanID)
	c.Assert(spans[0].GetParentSpanId(), qt.HasLen, 0)
}

// The collector hangs while the node serves calls. Add must not block, and hops
// that don't fit in the queue must be counted as dropped.
func TestHangingCollectorDropsHops(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	sink := blockingProcessor{SpanProcessor: sdktrace.NewSimpleSpanProcessor(tracetest.NewInMemoryExporter()), release: release}
	e := newExporter(ExporterConfig{Queue: 2}, sdktrace.WithSpanProcessor(sink))
	for range 100 {
		e.Add(refusedDownstream()[0])
	}
	queued, dropped := e.Counts()
	c.Assert(queued+dropped, qt.Equals, int64(100))
	c.Assert(queued <= 3, qt.IsTrue)
	close(release)
	c.Assert(e.Shutdown(context.Background()), qt.IsNil)
}

type blockingProcessor struct {
	sdktrace.SpanProcessor
	release chan struct{}
}

func (p blockingProcessor) OnEnd(sdktrace.ReadOnlySpan) { <-p.release }

func TestExporterErrors(t *testing.T) {
	c := qt.New(t)
	for _, endpoint := range []string{"", "127.0.0.1:4318", "ftp://127.0.0.1", "http://"} {
		_, err := NewExporter(context.Background(), ExporterConfig{Endpoint: endpoint})
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", endpoint))
	}
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var reported error
	e, err := NewExporter(context.Background(), ExporterConfig{Endpoint: server.URL, OnError: func(err error) { reported = err }})
	c.Assert(err, qt.IsNil)
	e.Add(refusedDownstream()[0])
	c.Assert(e.Shutdown(context.Background()), qt.IsNil)
	c.Assert(reported, qt.ErrorAs, new(*ExportError))
	hanging, err := NewExporter(context.Background(), ExporterConfig{Endpoint: server.URL})
	c.Assert(err, qt.IsNil)
	hanging.Add(refusedDownstream()[0])
	c.Assert(hanging.Shutdown(ended), qt.ErrorAs, new(*ExportError))
}
