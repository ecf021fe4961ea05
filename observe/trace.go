package observe

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"math/rand/v2"
)

// TraceID is the W3C id of a trace. The zero value means that there is no trace.
type TraceID [16]byte

// SpanID is the W3C id of a span. The zero value means that there is no span.
type SpanID [8]byte

// String returns lower-case hex.
func (id TraceID) String() string { return hex.EncodeToString(id[:]) }

// String returns lower-case hex.
func (id SpanID) String() string { return hex.EncodeToString(id[:]) }

// IsZero reports whether id is the zero value.
func (id TraceID) IsZero() bool { return id == TraceID{} }

// IsZero reports whether id is the zero value.
func (id SpanID) IsZero() bool { return id == SpanID{} }

// MarshalText implements encoding.TextMarshaler.
func (id TraceID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// MarshalText implements encoding.TextMarshaler.
func (id SpanID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *TraceID) UnmarshalText(text []byte) error { return decodeID(id[:], text) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *SpanID) UnmarshalText(text []byte) error { return decodeID(id[:], text) }

func decodeID(id, text []byte) error {
	if len(text) != hex.EncodedLen(len(id)) {
		return &IDError{Value: string(text), Digits: hex.EncodedLen(len(id))}
	}
	if _, err := hex.Decode(id, text); err != nil {
		return &IDError{Value: string(text), Digits: hex.EncodedLen(len(id))}
	}
	return nil
}

// NewSpanID returns a random id.
func NewSpanID() SpanID {
	var id SpanID
	// The zero id is reserved: it means that there is no span.
	binary.BigEndian.PutUint64(id[:], rand.Uint64N(math.MaxUint64)+1)
	return id
}

// Trace is the position of a call in a trace, as given in a traceparent header.
type Trace struct {
	TraceID TraceID
	SpanID  SpanID
	// Sampled is set if the nodes with an Exporter record the trace.
	Sampled bool
}

// NewTrace starts a trace with a random id. ratio is the probability that the
// trace is sampled, from 0 (none) to 1 (all).
func NewTrace(ratio float64) Trace {
	t := Trace{SpanID: NewSpanID(), Sampled: rand.Float64() < ratio}
	binary.BigEndian.PutUint64(t.TraceID[:8], rand.Uint64())
	binary.BigEndian.PutUint64(t.TraceID[8:], rand.Uint64N(math.MaxUint64)+1)
	return t
}

// Child returns the same trace with a new span.
func (t Trace) Child() Trace {
	t.SpanID = NewSpanID()
	return t
}

// Layout of a traceparent header of version 00.
const (
	traceParentLength = 55
	traceIDStart      = 3
	traceIDEnd        = 35
	spanIDStart       = 36
	spanIDEnd         = 52
	flagsStart        = 53
	sampledFlag       = 1
)

// String returns the traceparent header.
func (t Trace) String() string {
	var b [traceParentLength]byte
	copy(b[:], "00-")
	hex.Encode(b[traceIDStart:traceIDEnd], t.TraceID[:])
	b[traceIDEnd] = '-'
	hex.Encode(b[spanIDStart:spanIDEnd], t.SpanID[:])
	copy(b[spanIDEnd:], "-00")
	if t.Sampled {
		b[traceParentLength-1] = '1'
	}
	return string(b[:])
}

// ParseTrace parses a traceparent header. It returns a *TraceParentError for any
// header that must be ignored according to W3C Trace Context; the caller should
// then start a new trace.
func ParseTrace(header string) (Trace, error) {
	var t Trace
	var version, flags [1]byte
	if !hasTraceParentShape(header) {
		return Trace{}, &TraceParentError{Value: header}
	}
	ok := lowerHex(version[:], header[:traceIDStart-1]) &&
		lowerHex(t.TraceID[:], header[traceIDStart:traceIDEnd]) &&
		lowerHex(t.SpanID[:], header[spanIDStart:spanIDEnd]) &&
		lowerHex(flags[:], header[flagsStart:traceParentLength])
	const invalidVersion = 0xff
	if !ok || version[0] == invalidVersion || t.TraceID.IsZero() || t.SpanID.IsZero() {
		return Trace{}, &TraceParentError{Value: header}
	}
	if version[0] == 0 && len(header) != traceParentLength {
		return Trace{}, &TraceParentError{Value: header}
	}
	t.Sampled = flags[0]&sampledFlag != 0
	return t, nil
}

// hasTraceParentShape checks the length and the dashes. Versions after 00 may append
// further fields after a dash.
func hasTraceParentShape(header string) bool {
	if len(header) < traceParentLength || len(header) > maxShownBytes {
		return false
	}
	if len(header) > traceParentLength && header[traceParentLength] != '-' {
		return false
	}
	return header[traceIDStart-1] == '-' && header[traceIDEnd] == '-' && header[spanIDEnd] == '-'
}

// lowerHex decodes s into to and reports whether s is valid hex. W3C Trace Context
// allows only lower-case digits.
func lowerHex(to []byte, s string) bool {
	for i := range len(s) {
		if s[i] >= 'A' && s[i] <= 'F' {
			return false
		}
	}
	_, err := hex.Decode(to, []byte(s))
	return err == nil
}
