package admission

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// DefaultNeutralHeaders are the request headers that are assumed not to affect
// the response.
var DefaultNeutralHeaders = []string{
	"Traceparent", "Tracestate", "User-Agent", "Connection", "Date",
	"Cache-Control", "Pragma", "X-Request-Id",
}

// neutralPrefix is the prefix of headers that nodes set for each other.
const neutralPrefix = "Pollengauge-"

// BrownoutKey identifies the request that a stored response belongs to.
type BrownoutKey struct {
	Method string
	// URL includes the host.
	URL string
	// Caller identifies the caller by other means than headers, for example by
	// the remote address or the client certificate.
	Caller string
	Header http.Header
}

// text encodes the key with a length before each part, so that different keys
// have different texts.
func (b *Brownout) text(key BrownoutKey) string {
	names := make([]string, 0, len(key.Header))
	for name := range key.Header {
		if !b.neutral[name] && !strings.HasPrefix(name, neutralPrefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	part := func(s string) {
		text.WriteString(strconv.Itoa(len(s)))
		text.WriteByte(':')
		text.WriteString(s)
	}
	part(key.Method)
	part(key.URL)
	part(key.Caller)
	for _, name := range names {
		part(name)
		part(strconv.Itoa(len(key.Header[name])))
		for _, value := range key.Header[name] {
			part(value)
		}
	}
	return text.String()
}
