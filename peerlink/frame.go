package peerlink

import (
	"encoding/binary"
	"net/http"
	"net/textproto"
	"strings"

	"pollengauge.dev/call"
)

const (
	headerSize = 10
	// maxPayload is the longest payload of a frame, in bytes. A response head may have 1 MiB,
	// the most that operators can allow callers.
	maxPayload = 2 << 20
	// maxInline is the longest part of a body, in bytes, in one frame. A frame occupies the
	// connection alone, so longer bodies are divided.
	maxInline = 16 << 10
	// streamWindow is how many bytes of a body may be unread at the receiver. It lets the
	// answers that a node buffers before it sends them (128 KiB) arrive with one wait.
	streamWindow = 64 << 10
)

type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameResponse
	frameData
	frameTrailer
	// frameCancel means that the sender gives the stream up.
	frameCancel
	frameWindow
	framePing
	framePong
	frameGoAway
	// frameVoid is ignored.
	frameVoid
	// frameRefused means that the receiver of a request has skipped it.
	frameRefused
	frameTypes
)

var frameNames = [...]string{
	frameRequest: "request", frameResponse: "response", frameData: "data", frameTrailer: "trailer",
	frameCancel: "cancel", frameWindow: "window", framePing: "ping", framePong: "pong",
	frameGoAway: "go-away", frameVoid: "void", frameRefused: "refused",
}

func (t frameType) String() string {
	if int(t) < len(frameNames) && frameNames[t] != "" {
		return frameNames[t]
	}
	return "unknown"
}

// The flags of a frame.
const (
	// flagEnd marks the last frame of a body.
	flagEnd = 1 << iota
	// flagTrailers marks a head with the names of trailers.
	flagTrailers
)

// header is the fixed part of a frame.
type header struct {
	length int
	typ    frameType
	flags  byte
	stream uint32
}

// readHeader reads the header of a frame. b has headerSize bytes.
func readHeader(b []byte) (header, error) {
	h := header{
		length: int(binary.BigEndian.Uint32(b)),
		typ:    frameType(b[4]),
		flags:  b[5],
		stream: binary.BigEndian.Uint32(b[6:]),
	}
	if h.typ == 0 || h.typ >= frameTypes {
		return h, &FrameError{Frame: h.typ.String(), Want: "a known type"}
	}
	if h.length > maxPayload {
		return h, &FrameError{Frame: h.typ.String(), Want: "at most 2 MiB"}
	}
	return h, nil
}

// beginFrame appends a header whose length endFrame sets.
func beginFrame(b []byte, typ frameType, stream uint32) []byte {
	b = append(b, 0, 0, 0, 0, byte(typ), 0)
	return binary.BigEndian.AppendUint32(b, stream)
}

// endFrame sets the length and the flags of the frame that begins at start.
func endFrame(b []byte, start int, flags byte) {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-headerSize))
	b[start+5] = flags
}

// appendFrame appends a frame.
func appendFrame(b []byte, typ frameType, flags byte, stream uint32, payload []byte) []byte {
	start := len(b)
	b = append(beginFrame(b, typ, stream), payload...)
	endFrame(b, start, flags)
	return b
}

// appendData appends a body as data frames and, if it is the end, marks the last one.
func appendData(b []byte, stream uint32, body []byte, end bool) []byte {
	for {
		part := body[:min(len(body), maxInline)]
		body = body[len(part):]
		last := len(body) == 0
		flags := byte(0)
		if last && end {
			flags = flagEnd
		}
		b = appendFrame(b, frameData, flags, stream, part)
		if last {
			return b
		}
	}
}

// Pair is a header field.
type Pair struct{ Name, Value string }

// Request is a call on its way to another node.
type Request struct {
	Context call.Context
	Method  string
	// Target is the path and query as in a request line.
	Target string
	// Service is the service that the call is for.
	Service string
	Header  http.Header
	// Extra are fields that are sent in addition to Header and in place of its fields of the
	// same names. Omit, if not nil, reports the fields of Header that are not sent. Both
	// spare the sender a copy of Header.
	Extra []Pair
	Omit  func(name string) bool
	// Trailer has the names of the trailers. Their values are valid at the end of the body.
	Trailer http.Header
}

// Response is the head of a response.
type Response struct {
	Report  call.Report
	Status  int
	Header  http.Header
	Trailer http.Header
	// Extra is as in Request.
	Extra []Pair
}

// appendRequest appends the payload of a request frame without its body. length is the
// length of the body, -1 if it is unknown.
func appendRequest(b []byte, r *Request, length int64) ([]byte, error) {
	start := len(b)
	b, err := r.Context.AppendWire(b)
	if err != nil {
		return b[:start], &EncodeError{Part: "context", Cause: err}
	}
	b = appendString(b, r.Method)
	b = appendString(b, r.Target)
	b = appendString(b, r.Service)
	b = binary.AppendUvarint(b, uint64(length+1))
	if b, err = appendHeads(b, r.Header, r.Extra, r.Omit, r.Trailer); err != nil {
		return b[:start], err
	}
	return b, checkHead(b, start)
}

// appendResponse appends the payload of a response frame without its body.
func appendResponse(b []byte, r *Response) ([]byte, error) {
	start := len(b)
	b, err := r.Report.AppendWire(b)
	if err != nil {
		return b[:start], &EncodeError{Part: "report", Cause: err}
	}
	b = binary.BigEndian.AppendUint16(b, uint16(r.Status))
	if b, err = appendHeads(b, r.Header, r.Extra, nil, r.Trailer); err != nil {
		return b[:start], err
	}
	return b, checkHead(b, start)
}

// checkHead returns an *EncodeError if a frame with the head that begins at start, and a body
// in the same frame, would be too long.
func checkHead(b []byte, start int) error {
	if len(b)-start+maxInline > maxPayload {
		return &EncodeError{Part: "head of more than 2 MiB"}
	}
	return nil
}

// appendHeads appends the header and, if there are trailers, their names.
func appendHeads(b []byte, h http.Header, extra []Pair, omit func(string) bool, trailer http.Header) ([]byte, error) {
	b, err := appendFields(b, h, extra, omit)
	if err != nil || len(trailer) == 0 {
		return b, err
	}
	return appendNames(b, trailer)
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendFields appends a block of pairs: its length (four bytes), the number of pairs and
// the pairs.
func appendFields(b []byte, h http.Header, extra []Pair, omit func(string) bool) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0)
	pairs := 0
	for name, values := range h {
		if omit != nil && omit(name) || replaced(extra, name) {
			continue
		}
		if !validName(name) {
			return b, &EncodeError{Part: "header name"}
		}
		for _, value := range values {
			b = appendPair(b, name, value)
			pairs++
		}
	}
	for _, p := range extra {
		b = appendPair(b, p.Name, p.Value)
		pairs++
	}
	endFields(b, start, pairs)
	return b, nil
}

func replaced(extra []Pair, name string) bool {
	for i := range extra {
		if extra[i].Name == name {
			return true
		}
	}
	return false
}

// appendNames appends a block with one pair for each name, whose value is empty.
func appendNames(b []byte, h http.Header) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0)
	for name := range h {
		if !validName(name) {
			return b, &EncodeError{Part: "trailer name"}
		}
		b = appendPair(b, name, "")
	}
	endFields(b, start, len(h))
	return b, nil
}

func appendPair(b []byte, name, value string) []byte {
	if !validValue(value) {
		value = valueCleaner.Replace(value)
	}
	return appendString(appendString(b, name), value)
}

// endFields sets the length and the number of pairs of the block that begins at start.
func endFields(b []byte, start, pairs int) {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	binary.BigEndian.PutUint32(b[start+4:], uint32(pairs))
}

// valueCleaner replaces what can't occur in a value, as net/http does when it writes one.
var valueCleaner = strings.NewReplacer("\n", " ", "\r", " ", "\x00", " ")

// payload reads the parts of a payload.
type payload struct {
	b   []byte
	bad bool
}

func (p *payload) uvarint() uint64 {
	v, n := binary.Uvarint(p.b)
	if n <= 0 {
		p.bad, p.b = true, nil
		return 0
	}
	p.b = p.b[n:]
	return v
}

// take returns the next n bytes, nil if there are fewer.
func (p *payload) take(n uint64) []byte {
	if n > uint64(len(p.b)) {
		p.bad, p.b = true, nil
		return nil
	}
	part := p.b[:n]
	p.b = p.b[n:]
	return part
}

func (p *payload) uint32() uint32 {
	if part := p.take(4); part != nil {
		return binary.BigEndian.Uint32(part)
	}
	return 0
}

func (p *payload) string() string { return string(p.take(p.uvarint())) }

// fields reads a block of pairs. The values share one array, and all text one string.
func (p *payload) fields() http.Header {
	size := uint64(p.uint32())
	if size < 4 {
		p.bad = true
		return nil
	}
	block := payload{b: p.take(size)}
	pairs := uint64(block.uint32())
	const leastPair = 2 // two lengths
	if p.bad || block.bad || pairs > uint64(len(block.b)/leastPair) {
		p.bad = true
		return nil
	}
	text := string(block.b)
	values := make([]string, 0, pairs)
	h := make(http.Header, pairs)
	for range pairs {
		name, value := block.text(text), block.text(text)
		if block.bad || !validName(name) || !validValue(value) {
			p.bad = true
			return nil
		}
		if !canonical(name) {
			name = textproto.CanonicalMIMEHeaderKey(name)
		}
		if had := h[name]; had != nil {
			h[name] = append(had, value)
			continue
		}
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	p.bad = p.bad || len(block.b) != 0
	return h
}

// names reads a block of names, whose values are not known yet.
func (p *payload) names() http.Header {
	h := p.fields()
	for name := range h {
		h[name] = nil
	}
	return h
}

// text reads a string that is a part of all, whose end is the end of p.
func (p *payload) text(all string) string {
	n := p.uvarint()
	start := len(all) - len(p.b)
	if p.take(n); p.bad {
		return ""
	}
	return all[start : start+int(n)]
}

// readRequest reads the payload of a request frame. body is the rest, which is valid as long
// as b; length is the length of the body, -1 if unknown.
func readRequest(b []byte, flags byte) (r *Request, body []byte, length int64, err error) {
	r = &Request{}
	rest, err := r.Context.ReadWire(b)
	if err != nil {
		return nil, nil, 0, &FrameError{Frame: frameRequest.String(), Want: err.Error()}
	}
	p := payload{b: rest}
	r.Method = methodOf(p.take(p.uvarint()))
	r.Target = p.string()
	r.Service = p.string()
	length = int64(p.uvarint()) - 1
	r.Header = p.fields()
	if flags&flagTrailers != 0 {
		r.Trailer = p.names()
	}
	if p.bad || length < -1 || !validName(r.Method) || r.Target == "" || !validService(r.Service) {
		return nil, nil, 0, &FrameError{Frame: frameRequest.String(), Want: "a complete head"}
	}
	return r, p.b, length, nil
}

// methodOf returns a method without an allocation if it is a usual one.
func methodOf(b []byte) string {
	switch string(b) {
	case http.MethodGet:
		return http.MethodGet
	case http.MethodPost:
		return http.MethodPost
	case http.MethodPut:
		return http.MethodPut
	case http.MethodDelete:
		return http.MethodDelete
	default:
		return string(b)
	}
}

// readResponse reads the payload of a response frame. body is valid as long as b.
func readResponse(b []byte, flags byte) (r *Response, body []byte, err error) {
	r = &Response{}
	rest, err := r.Report.ReadWire(b)
	if err != nil {
		return nil, nil, &FrameError{Frame: frameResponse.String(), Want: err.Error()}
	}
	p := payload{b: rest}
	if status := p.take(2); status != nil {
		r.Status = int(binary.BigEndian.Uint16(status))
	}
	r.Header = p.fields()
	if flags&flagTrailers != 0 {
		r.Trailer = p.names()
	}
	const lowest, highest = 200, 599
	if p.bad || r.Status < lowest || r.Status > highest {
		return nil, nil, &FrameError{Frame: frameResponse.String(), Want: "a complete head with a final status"}
	}
	return r, p.b, nil
}

// readTrailer reads the payload of a trailer frame.
func readTrailer(b []byte) (http.Header, error) {
	p := payload{b: b}
	h := p.fields()
	if p.bad || len(p.b) > 0 {
		return nil, &FrameError{Frame: frameTrailer.String(), Want: "pairs"}
	}
	return h, nil
}

// readNumber reads the payload of a window or go-away frame.
func readNumber(h header, b []byte) (uint32, error) {
	const size = 4
	if len(b) != size {
		return 0, &FrameError{Frame: h.typ.String(), Want: "a number"}
	}
	return binary.BigEndian.Uint32(b), nil
}

// nameBytes marks the bytes that a header name may have (RFC 9110, 5.6.2).
var nameBytes = func() (valid [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		valid[c] = true
	}
	return valid
}()

func validName(s string) bool {
	for i := range len(s) {
		if !nameBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// validValue reports whether a value can't be taken for the end of a field.
func validValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c == '\n' || c == '\r' || c == 0 {
			return false
		}
	}
	return true
}

// validService reports whether a service can be the value of a Host.
func validService(s string) bool {
	const longest = 253 + 6
	return call.ValidToken(s, longest)
}

// canonical reports whether a valid name is in canonical form.
func canonical(name string) bool {
	upper := true
	for i := range len(name) {
		c := name[i]
		if upper && 'a' <= c && c <= 'z' || !upper && 'A' <= c && c <= 'Z' {
			return false
		}
		upper = c == '-'
	}
	return true
}
