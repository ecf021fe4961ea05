package node

import (
	"net/http"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// span is the position of a call in its trace at one hop.
type span struct {
	observe.Trace
	parent observe.SpanID
}

// startSpan starts this hop's span as a child of the span that the header names, or
// starts a new trace.
func (n *Node) startSpan(h http.Header) span {
	parent, err := observe.ParseTrace(h.Get(call.HeaderTraceParent))
	if err != nil {
		return span{Trace: observe.NewTrace(n.settings.TraceRatio)}
	}
	return span{Trace: parent.Child(), parent: parent.SpanID}
}

// child starts a child span of s.
func (s span) child() span { return span{Trace: s.Trace.Child(), parent: s.SpanID} }

// hop returns the hop record of one step of req that began at a time, with the fields that
// are known at its start.
func (n *Node) hop(req *request, kind observe.Kind, at time.Time) observe.Hop {
	return observe.Hop{
		At:           at,
		RequestID:    call.ShortID(req.call.RequestID),
		TraceID:      req.span.TraceID,
		SpanID:       req.span.SpanID,
		ParentSpanID: req.span.parent,
		Sampled:      req.span.Sampled,
		Node:         n.id,
		Service:      req.service,
		Zone:         n.settings.Zone,
		Kind:         kind,
		Profile:      req.call.Profile,
		Depth:        req.call.Depth,
		Level:        req.call.Level,
		AdmitLevel:   n.gate.AdmitLevel(),
		CreditIn:     req.call.Credit,
		Key:          observe.RedactKey(req.key),
		Load:         n.gate.Load(),
		InFlight:     n.gate.InFlight(),

		ConfigVersion: n.config.Current().Version(),
	}
}

// record stores a finished hop for the explain command and passes it to the exporter.
func (n *Node) record(h *observe.Hop) {
	n.ring.Add(*h)
	if n.usesDialect() {
		n.log.Decide(h, observe.DefaultDecisionSample)
	}
	n.export(h)
}
