package node

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"pollengauge.dev/call"
)

// isHopHeader reports whether a header applies to one connection and is never forwarded
// (RFC 9110, 7.6.1). The name is in canonical form.
func isHopHeader(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// copyHeader returns a copy of h without hop-by-hop headers, with capacity for the
// headers that the node adds. The copy shares the value slices: values are replaced,
// never modified.
func copyHeader(h http.Header, extra int) http.Header {
	out := make(http.Header, len(h)+extra)
	for name, values := range h {
		if !isHopHeader(name) {
			out[name] = slices.Clip(values)
		}
	}
	for _, field := range h["Connection"] {
		deleteNamed(out, field)
	}
	return out
}

// stripHop removes hop-by-hop headers from h, including those that Connection names.
func stripHop(h http.Header) {
	for _, field := range h["Connection"] {
		deleteNamed(h, field)
	}
	// One pass over the few headers of a message is cheaper than a lookup of each name.
	for name := range h {
		if isHopHeader(name) {
			delete(h, name)
		}
	}
}

// deleteNamed removes the headers that the value of a Connection header names.
func deleteNamed(h http.Header, connection string) {
	for name := range strings.SplitSeq(connection, ",") {
		h.Del(textproto.TrimString(name))
	}
}

// field is a header with one value. The name is in canonical form.
type field struct{ name, value string }

// setFields sets headers and replaces existing values.
func setFields(h http.Header, fields ...field) {
	values := make([]string, len(fields))
	for i, f := range fields {
		values[i] = f.value
		h[f.name] = values[i : i+1 : i+1]
	}
}

// nodeOnlyHeaders are exchanged only between nodes.
var nodeOnlyHeaders = []string{call.HeaderWorst, call.HeaderCreditLeft, call.HeaderLoad, call.HeaderPressure, call.HeaderWork}

// writePublicReport writes the part of a report that callers may see.
func writePublicReport(h http.Header, r call.Report) {
	for _, name := range nodeOnlyHeaders {
		delete(h, name)
	}
	h.Set(call.HeaderOutcome, r.Outcome.String())
	if r.Reason != call.ReasonNone {
		h.Set(call.HeaderReason, string(r.Reason))
	}
	if r.Hop != "" {
		h.Set(call.HeaderHop, r.Hop)
	}
}
