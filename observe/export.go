package observe

import (
	"context"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"pollengauge.dev/call"
)

// DefaultExportQueue is the default of ExporterConfig.Queue.
const DefaultExportQueue = 4096

const defaultTracePath = "/v1/traces"

// ExporterConfig configures an Exporter.
type ExporterConfig struct {
	// Endpoint is the URL of a collector that takes OTLP over HTTP, for
	// example http://127.0.0.1:4318. A URL without a path gets /v1/traces.
	Endpoint string
	// Queue bounds the hops that wait to be sent (0: DefaultExportQueue).
	// Further hops are dropped and counted while the collector is slow or down.
	// A longer queue bridges longer pauses and uses more memory.
	Queue int
	// Node, Service and Zone name the source of the spans.
	Node, Service, Zone string
	// OnError is called with an *ExportError when spans could not be sent (nil:
	// errors are ignored). The exporter's goroutines call it, so it must not block.
	OnError func(error)
}

// Exporter sends sampled hops as OpenTelemetry spans. The exporter's own
// goroutine converts the hops to spans, never the goroutine of a call.
type Exporter struct {
	queue    chan Hop
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	dropped  atomic.Int64
	added    atomic.Int64
}

// NewExporter starts an exporter to a collector. It does not connect yet, so it
// succeeds while the collector is down.
func NewExporter(ctx context.Context, config ExporterConfig) (*Exporter, error) {
	target, err := url.Parse(config.Endpoint)
	if err != nil {
		return nil, &ExportError{Endpoint: config.Endpoint, Err: err}
	}
	if (target.Scheme != "http" && target.Scheme != "https") || target.Host == "" {
		return nil, &SettingError{Setting: "trace endpoint", Value: config.Endpoint, Want: "a URL such as http://127.0.0.1:4318"}
	}
	if target.Path == "" || target.Path == "/" {
		target.Path = defaultTracePath
	}
	client, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target.String()))
	if err != nil {
		return nil, &ExportError{Endpoint: config.Endpoint, Err: err}
	}
	sink := reportingExporter{SpanExporter: client, endpoint: config.Endpoint, onError: config.OnError}
	// The batcher blocks when its own queue is full, so that hops are dropped only
	// at the bounded queue of Exporter, which counts them.
	return newExporter(config, sdktrace.WithBatcher(sink, sdktrace.WithBlocking())), nil
}

// reportingExporter reports export errors to onError. Without it they would go to
// the library's global handler, which prints lines without an event number.
type reportingExporter struct {
	sdktrace.SpanExporter
	endpoint string
	onError  func(error)
}

// ExportSpans implements sdktrace.SpanExporter.
func (r reportingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	err := r.SpanExporter.ExportSpans(ctx, spans)
	if err != nil && r.onError != nil {
		r.onError(&ExportError{Endpoint: r.endpoint, Err: err})
	}
	return nil
}

func newExporter(config ExporterConfig, sink sdktrace.TracerProviderOption) *Exporter {
	if config.Queue <= 0 {
		config.Queue = DefaultExportQueue
	}
	provider := sdktrace.NewTracerProvider(
		sink,
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithIDGenerator(hopIDs{}),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", config.Service),
			attribute.String("service.instance.id", config.Node),
			attribute.String("cloud.availability_zone", config.Zone),
		)),
	)
	e := &Exporter{
		queue:    make(chan Hop, config.Queue),
		provider: provider,
		tracer:   provider.Tracer("pollengauge.dev/observe"),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	go e.run()
	return e
}

// Add queues a hop and never blocks. A hop that is not sampled is ignored.
func (e *Exporter) Add(h Hop) {
	if !h.Sampled {
		return
	}
	select {
	case e.queue <- h:
		e.added.Add(1)
	default:
		e.dropped.Add(1)
	}
}

// Counts returns the number of hops that were queued, and the number dropped
// because the queue was full.
func (e *Exporter) Counts() (queued, dropped int64) { return e.added.Load(), e.dropped.Load() }

// Shutdown sends the queued hops and stops the exporter, or gives up when ctx is
// done. Hops added later are not sent.
func (e *Exporter) Shutdown(ctx context.Context) error {
	e.stopOnce.Do(func() { close(e.stop) })
	select {
	case <-e.done:
	case <-ctx.Done():
	}
	if err := e.provider.Shutdown(ctx); err != nil {
		return &ExportError{Err: err}
	}
	return nil
}

func (e *Exporter) run() {
	defer close(e.done)
	for {
		select {
		case h := <-e.queue:
			e.record(h)
		case <-e.stop:
			e.drain()
			return
		}
	}
}

func (e *Exporter) drain() {
	for {
		select {
		case h := <-e.queue:
			e.record(h)
		default:
			return
		}
	}
}

// record creates a span with the ids and times of the hop.
func (e *Exporter) record(h Hop) {
	ctx := context.WithValue(context.Background(), hopKey{}, &h)
	if !h.ParentSpanID.IsZero() {
		ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
			TraceID:    trace.TraceID(h.TraceID),
			SpanID:     trace.SpanID(h.ParentSpanID),
			TraceFlags: trace.FlagsSampled,
			Remote:     true,
		}))
	}
	_, span := e.tracer.Start(ctx, string(h.Kind)+" "+h.Service,
		trace.WithTimestamp(h.At),
		trace.WithSpanKind(spanKind(h.Kind)),
		trace.WithAttributes(attributes(h)...))
	if h.Outcome != call.Complete {
		span.SetStatus(codes.Error, string(h.Reason))
	}
	span.End(trace.WithTimestamp(h.At.Add(h.Took)))
}

type hopKey struct{}

// hopIDs is an id generator that gives each span the ids of its hop instead of
// random ids, so that the spans of several nodes form one trace.
type hopIDs struct{}

// NewIDs implements sdktrace.IDGenerator.
func (hopIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	h, ok := ctx.Value(hopKey{}).(*Hop)
	if !ok {
		t := NewTrace(1)
		return trace.TraceID(t.TraceID), trace.SpanID(t.SpanID)
	}
	return trace.TraceID(h.TraceID), trace.SpanID(h.SpanID)
}

// NewSpanID implements sdktrace.IDGenerator.
func (g hopIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	_, id := g.NewIDs(ctx)
	return id
}

// DefaultShutdownTimeout is a suitable timeout for Exporter.Shutdown. A collector
// that takes longer can be assumed to be down.
const DefaultShutdownTimeout = 5 * time.Second
