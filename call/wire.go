package call

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"
)

// The binary form of a Context and of a Report, used on connections that nodes share.
//
// Each block begins with its length (two bytes) and the length of its fixed part (one byte).
// A later version may append fields to either part: a reader skips what it doesn't know and
// takes fields that are absent as zero.
const (
	wireHead = 3
	// contextFixed and reportFixed are the sizes of the fixed parts, in bytes.
	contextFixed = 2 + 4 + 1 + 1 + 1 + 2 + 1 + 1 + 8
	reportFixed  = 1 + 2 + 1 + 4 + 2 + 4 + 1 + 4 + 1 + 8 + targetLoadFigures*4
	// maxWireBlock is the longest block, in bytes.
	maxWireBlock = math.MaxUint16
)

// Bits of the flags of a block.
const (
	wireRepeat = 1 << iota
	wireLimited
	wireLeaving
)

// WireError reports a block that can't be read, or a value that has no binary form.
type WireError struct {
	Field string
	// Want describes the valid values.
	Want string
}

// Error implements error.
func (e *WireError) Error() string { return "field " + e.Field + ": want " + e.Want }

// AppendWire appends the binary form of c to b. Numbers above their bounds are reduced to
// them, as Inject does. A string that Extract would refuse is a *WireError.
func (c *Context) AppendWire(b []byte) ([]byte, error) {
	if err := c.checkStrings(); err != nil {
		return b, err
	}
	start := len(b)
	b = append(b, 0, 0, contextFixed)
	b = binary.BigEndian.AppendUint16(b, uint16(min(c.Level, MaxLevel)))
	left := min(max(c.Timeout, 0), MaxTimeout)
	b = binary.BigEndian.AppendUint32(b, uint32(left.Microseconds()))
	b = append(b, clampByte(c.Credit), clampByte(c.Depth), clampByte(c.Progress))
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(c.RefusedShare, 0), maxShare)))
	b = append(b, byte(min(max(c.Ends, 0), maxCrashes)), wireFlags(c.Repeat, c.Upstream))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(c.Upstream.Limit))
	for _, s := range [...]string{c.RequestID, c.Profile, c.Host, c.Origin, c.Customer, c.Upstream.Instance} {
		b = appendWireString(b, s)
	}
	return endWireBlock(b, start)
}

// checkStrings returns a *WireError for a string that ReadWire would refuse.
func (c *Context) checkStrings() error {
	switch {
	case !ValidToken(c.RequestID, MaxIDLength):
		return &WireError{Field: "RequestID", Want: tokenOf(MaxIDLength)}
	case !ValidToken(c.Profile, maxNameLength):
		return &WireError{Field: "Profile", Want: tokenOf(maxNameLength)}
	case c.Host != "" && !ValidToken(c.Host, maxHostLength):
		return &WireError{Field: "Host", Want: tokenOf(maxHostLength)}
	case len(c.Origin) > MaxOriginLength:
		return &WireError{Field: "Origin", Want: bytesOf(MaxOriginLength)}
	case len(c.Customer) > maxCustomerLength:
		return &WireError{Field: "Customer", Want: bytesOf(maxCustomerLength)}
	default:
		return c.Upstream.checkWire()
	}
}

// checkWire returns a *WireError for a notice that ReadWire would refuse.
func (n *UpstreamNotice) checkWire() error {
	if len(n.Instance) > MaxInstanceLength {
		return &WireError{Field: "Upstream.Instance", Want: bytesOf(MaxInstanceLength)}
	}
	if !(n.Limit >= 0) || math.IsInf(n.Limit, 0) {
		return &WireError{Field: "Upstream.Limit", Want: "requests a second, at least 0"}
	}
	return nil
}

// ReadWire reads what AppendWire wrote and returns the rest of b. The error is a *WireError
// for a block that is malformed or has a value out of range.
func (c *Context) ReadWire(b []byte) (rest []byte, err error) {
	r, rest, err := openWireBlock(b, contextFixed)
	if err != nil {
		return nil, err
	}
	*c = Context{
		Level:        Level(r.uint16()),
		Timeout:      time.Duration(r.uint32()) * time.Microsecond,
		Credit:       int(r.byte()),
		Depth:        int(r.byte()),
		Progress:     int(r.byte()),
		RefusedShare: int(r.uint16()),
		Ends:         int(r.byte()),
	}
	c.Repeat = r.notice(&c.Upstream)
	r.strings(&c.RequestID, &c.Profile, &c.Host, &c.Origin, &c.Customer, &c.Upstream.Instance)
	switch {
	case r.bad:
		return nil, &WireError{Field: "context", Want: "whole strings"}
	case c.Level > MaxLevel || c.Timeout > MaxTimeout || c.Credit > MaxCredit || c.Depth > MaxDepth ||
		c.Progress > MaxProgress || c.RefusedShare > maxShare || c.Ends > maxCrashes:
		return nil, &WireError{Field: "context", Want: "numbers within their bounds"}
	}
	return rest, c.checkStrings()
}

// AppendWire appends the binary form of r to b. Numbers above their bounds are reduced to
// them, as Inject does; a reason or hop that is too long is left out, as ExtractReport does.
func (r *Report) AppendWire(b []byte) ([]byte, error) {
	if err := r.Upstream.checkWire(); err != nil {
		return b, err
	}
	start := len(b)
	b = append(b, 0, 0, reportFixed, byte(r.Outcome))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.HighestAdmitLevel, MaxLevel+1)))
	b = append(b, clampByte(r.CreditLeft))
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(r.Load, 0), maxLoad)))
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(r.Pressure, 0), maxShare)))
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(r.Work, 0), maxWork)))
	b = append(b, byte(min(max(r.Ends, 0), maxCrashes)))
	b = binary.BigEndian.AppendUint32(b, uint32(min(r.EndsStamp, maxCrashesStamp)))
	b = append(b, wireFlags(false, r.Upstream))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(r.Upstream.Limit))
	b = r.TargetLoad.appendWire(b)
	b = appendWireString(b, wireName(string(r.Reason)))
	b = appendWireString(b, wireName(r.Hop))
	b = appendWireString(b, r.Upstream.Instance)
	return endWireBlock(b, start)
}

// appendWire appends five numbers of four bytes, all 0 if l is not valid.
func (l TargetLoad) appendWire(b []byte) []byte {
	if !l.Valid() {
		l = TargetLoad{}
	}
	for _, figure := range [targetLoadFigures]int{l.Running, l.Waiting, l.Slots, l.Work, l.Age} {
		b = binary.BigEndian.AppendUint32(b, uint32(figure))
	}
	return b
}

// targetLoad reads a TargetLoad. As in a header, a malformed one doesn't cost the response.
func (r *wireReader) targetLoad() TargetLoad {
	l := TargetLoad{Running: int(r.uint32()), Waiting: int(r.uint32()), Slots: int(r.uint32()), Work: int(r.uint32()), Age: int(r.uint32())}
	if !l.IsZero() && !l.Valid() {
		return malformedTargetLoad
	}
	return l
}

// wireName returns a name, or "" if it is too long.
func wireName(name string) string {
	if len(name) > maxNameLength {
		return ""
	}
	return name
}

// ReadWire reads what AppendWire wrote and returns the rest of b. The error is a *WireError;
// the caller must then take the outcome as Unknown.
func (r *Report) ReadWire(b []byte) (rest []byte, err error) {
	w, rest, err := openWireBlock(b, reportFixed)
	if err != nil {
		return nil, err
	}
	*r = Report{
		Outcome:           Outcome(w.byte()),
		HighestAdmitLevel: Level(w.uint16()),
		CreditLeft:        int(w.byte()),
		Load:              int(w.uint32()),
		Pressure:          int(w.uint16()),
		Work:              int(w.uint32()),
		Ends:              int(w.byte()),
		EndsStamp:         uint64(w.uint32()),
	}
	w.notice(&r.Upstream)
	r.TargetLoad = w.targetLoad()
	var reason string
	w.strings(&reason, &r.Hop, &r.Upstream.Instance)
	r.Reason = Reason(reason)
	switch {
	case w.bad:
		return nil, &WireError{Field: "report", Want: "whole strings"}
	case int(r.Outcome) >= len(outcomeNames):
		return nil, &WireError{Field: "Outcome", Want: "complete, not-run or unknown"}
	case r.HighestAdmitLevel > MaxLevel+1 || r.CreditLeft > MaxCredit || r.Load > maxLoad || r.Pressure > maxShare ||
		r.Work > maxWork || r.Ends > maxCrashes || r.EndsStamp > maxCrashesStamp:
		return nil, &WireError{Field: "report", Want: "numbers within their bounds"}
	case len(reason) > maxNameLength || len(r.Hop) > maxNameLength:
		return nil, &WireError{Field: "report", Want: "names of " + bytesOf(maxNameLength)}
	}
	return rest, r.Upstream.checkWire()
}

func tokenOf(limit int) string { return "1 to " + strconv.Itoa(limit) + " visible ASCII characters" }

func bytesOf(limit int) string { return "at most " + strconv.Itoa(limit) + " bytes" }

// clampByte reduces a number to the highest that MaxCredit, MaxDepth and MaxProgress allow.
func clampByte(n int) byte { return byte(min(max(n, 0), MaxCredit)) }

func wireFlags(repeat bool, n UpstreamNotice) byte {
	flags := byte(boolToInt(repeat) * wireRepeat)
	flags |= byte(boolToInt(n.Limited) * wireLimited)
	return flags | byte(boolToInt(n.Leaving)*wireLeaving)
}

func appendWireString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// endWireBlock sets the length of the block that begins at start.
func endWireBlock(b []byte, start int) ([]byte, error) {
	size := len(b) - start
	if size > maxWireBlock {
		return b[:start], &WireError{Field: "block", Want: bytesOf(maxWireBlock)}
	}
	binary.BigEndian.PutUint16(b[start:], uint16(size))
	return b, nil
}

// wireReader reads the parts of a block.
type wireReader struct {
	fixed, variable []byte
	bad             bool
}

// openWireBlock returns a reader of the block at the start of b, whose fixed part has at
// least the given size, and the rest of b.
func openWireBlock(b []byte, fixed int) (wireReader, []byte, error) {
	if len(b) < wireHead {
		return wireReader{}, nil, &WireError{Field: "block", Want: "a length"}
	}
	size, got := int(binary.BigEndian.Uint16(b)), int(b[2])
	if size > len(b) || got < fixed || wireHead+got > size {
		return wireReader{}, nil, &WireError{Field: "block", Want: "all of its fields"}
	}
	return wireReader{fixed: b[wireHead : wireHead+got], variable: b[wireHead+got : size]}, b[size:], nil
}

func (r *wireReader) byte() byte {
	v := r.fixed[0]
	r.fixed = r.fixed[1:]
	return v
}

func (r *wireReader) uint16() uint16 {
	v := binary.BigEndian.Uint16(r.fixed)
	r.fixed = r.fixed[2:]
	return v
}

func (r *wireReader) uint32() uint32 {
	v := binary.BigEndian.Uint32(r.fixed)
	r.fixed = r.fixed[4:]
	return v
}

// notice reads the flags and the limit of a notice, and returns the flag of a repeat.
func (r *wireReader) notice(n *UpstreamNotice) (repeat bool) {
	flags := r.byte()
	n.Limited, n.Leaving = flags&wireLimited != 0, flags&wireLeaving != 0
	n.Limit = math.Float64frombits(binary.BigEndian.Uint64(r.fixed))
	r.fixed = r.fixed[8:]
	return flags&wireRepeat != 0
}

// strings reads strings. They share one allocation.
func (r *wireReader) strings(into ...*string) {
	all := string(r.variable)
	for _, s := range into {
		length, n := binary.Uvarint(r.variable)
		if n <= 0 || length > uint64(len(r.variable)-n) {
			r.bad = true
			return
		}
		start := len(all) - len(r.variable) + n
		*s = all[start : start+int(length)]
		r.variable = r.variable[n+int(length):]
	}
}
