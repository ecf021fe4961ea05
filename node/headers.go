package node

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"pollengauge.dev/call"
)

// hopHeaders belong to one connection and are never passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader returns a copy of h that stripHop has been applied to, with room
// for what the node adds. The values are shared: they are replaced, never
// written to.
func copyHeader(h http.Header, room int) http.Header {
	out := make(http.Header, len(h)+room)
	for name, values := range h {
		out[name] = slices.Clip(values)
	}
	stripHop(out)
	return out
}

// stripHop removes hop headers from h, those that Connection names included.
func stripHop(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// field is a header with one value. The name is in canonical form.
type field struct{ name, value string }

// setFields sets headers, replacing what was there.
func setFields(h http.Header, fields ...field) {
	values := make([]string, len(fields))
	for i, f := range fields {
		values[i] = f.value
		h[f.name] = values[i : i+1 : i+1]
	}
}

// insideHeaders are what only nodes tell each other.
var insideHeaders = []string{call.HeaderWorst, call.HeaderCreditLeft, call.HeaderLoad, call.HeaderPressure, call.HeaderWork}

// tellOutside writes the part of a report that callers may know.
func tellOutside(h http.Header, r call.Report) {
	for _, name := range insideHeaders {
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
