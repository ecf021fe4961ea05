package observe

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollengauge.dev/call"
)

func spanKind(kind Kind) trace.SpanKind {
	switch kind {
	case Root, Inbound:
		return trace.SpanKindServer
	case Attempt:
		return trace.SpanKindClient
	}
	return trace.SpanKindInternal
}

func attributes(h Hop) []attribute.KeyValue {
	list := []attribute.KeyValue{
		attribute.String("pollengauge.request", h.RequestID),
		attribute.String("pollengauge.profile", h.Profile),
		attribute.String("pollengauge.decision", string(h.Decision)),
		attribute.String("pollengauge.outcome", h.Outcome.String()),
		attribute.String("pollengauge.level", h.Level.String()),
		attribute.String("pollengauge.admission_level", h.AdmitLevel.String()),
		attribute.String("pollengauge.level_below", h.LevelBelow.String()),
		attribute.Int64("pollengauge.waited_us", h.Waited.Microseconds()),
		attribute.Int("pollengauge.credit_in", h.CreditIn),
		attribute.Int("pollengauge.credit_left", h.CreditLeft),
		attribute.Int("pollengauge.limit", h.Limit),
		attribute.Int("pollengauge.in_flight", h.InFlight),
		attribute.Int("pollengauge.queue", h.Queue),
	}
	if h.Reason != call.ReasonNone {
		list = append(list, attribute.String("pollengauge.reason", string(h.Reason)))
	}
	if h.Target != "" {
		list = append(list, attribute.String("server.address", h.Target))
	}
	if h.Attempt > 0 {
		list = append(list, attribute.Int("pollengauge.attempt", h.Attempt))
	}
	if h.Key != "" {
		list = append(list, attribute.String("pollengauge.key", h.Key))
	}
	if h.Status > 0 {
		list = append(list, attribute.Int("http.response.status_code", h.Status))
	}
	return list
}
