package call

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Headers that travel down with a call. An upstream that calls out copies
// those in PropagatedHeaders from the request that it is serving.
const (
	// HeaderRequest is the root request's id, the same at every hop.
	HeaderRequest = "Pollengauge-Request"
	// HeaderProfile is the name of the root's profile.
	HeaderProfile = "Pollengauge-Profile"
	// HeaderLevel is the decimal Level.
	HeaderLevel = "Pollengauge-Level"
	// HeaderTimeout is what is left of the deadline, in whole milliseconds.
	// It is relative, so clocks need not agree.
	HeaderTimeout = "Pollengauge-Timeout-Ms"
	// HeaderCredit is the number of extra attempts this call may still make.
	HeaderCredit = "Pollengauge-Credit"
	// HeaderDepth counts hops below the root, which is 0.
	HeaderDepth = "Pollengauge-Depth"
	// HeaderProgress counts the calls of the request that have already run. It
	// is absent while that is none.
	HeaderProgress = "Pollengauge-Progress"
	// HeaderHeldBack is the share of the requests that the root refused when it let
	// this one begin, in thousandths. It is absent at 0.
	HeaderHeldBack = "Pollengauge-Held-Back"
	// HeaderRepeat marks a call whose work some upstream may have had before. It is
	// absent on others.
	HeaderRepeat = "Pollengauge-Repeat"
	// HeaderEnds is how many upstreams in turn are known to have ended while they ran
	// the call: on the way down before this attempt, in an answer with it. It is
	// absent at 0.
	HeaderEnds = "Pollengauge-Upstream-Ends"
	// HeaderVisit names, between an upstream and its own node, the call that
	// the upstream is serving.
	HeaderVisit = "Pollengauge-Visit"
	// HeaderHome marks a call that was forwarded to the home of its key.
	HeaderHome = "Pollengauge-Home"
	// HeaderHost, between nodes, is the Host that the caller named, where it
	// is not the service.
	HeaderHost = "Pollengauge-Host"
	// HeaderOrigin, between nodes, is the service on the VM where the request
	// entered the system.
	HeaderOrigin = "Pollengauge-Origin"
	// HeaderCustomer is the name of the customer whose request it is, between nodes
	// escaped as a part of a path. It is absent where there is none.
	HeaderCustomer = "Pollengauge-Customer"
	// HeaderAPIKey is where callers send the key of their customer.
	HeaderAPIKey = "X-Api-Key"
	// HeaderIdempotencyKey is the published name of a caller's key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTraceParent is W3C trace context.
	HeaderTraceParent = "Traceparent"
)

// Headers that travel back with an answer.
const (
	// HeaderOutcome is complete, not-run or unknown.
	HeaderOutcome = "Pollengauge-Outcome"
	// HeaderReason is a Reason; absent on complete answers.
	HeaderReason = "Pollengauge-Reason"
	// HeaderHop is the service whose node gave the reason.
	HeaderHop = "Pollengauge-Hop"
	// HeaderWorst is the highest admission level at or below the answering hop.
	HeaderWorst = "Pollengauge-Worst-Level"
	// HeaderCreditLeft is the unused part of the credit handed down.
	HeaderCreditLeft = "Pollengauge-Credit-Left"
	// HeaderLoad is the answering node's load in thousandths of its limit.
	HeaderLoad = "Pollengauge-Load"
	// HeaderEndsStamp orders what is told of HeaderEnds by different hops. It is absent
	// at 0.
	HeaderEndsStamp = "Pollengauge-Upstream-Ends-Stamp"
	// HeaderRetryAfterMs is Retry-After in milliseconds, for clients that can
	// use a finer figure than the published whole seconds.
	HeaderRetryAfterMs = "Pollengauge-Retry-After-Ms"
	// HeaderPressure is the share of the requests leading to the answering hop,
	// or further down, that should not begin, in thousandths.
	HeaderPressure = "Pollengauge-Pressure"
	// HeaderWork is how long the request held slots of the upstream that its
	// pressure comes from, in whole milliseconds. It is absent at 0.
	HeaderWork = "Pollengauge-Work"
	// HeaderStale is the age in seconds of a stored answer given in place of
	// a fresh one (brownout).
	HeaderStale = "Pollengauge-Stale"
)

// NodeHeaders are the headers that only nodes may set: what they tell each
// other, and their upstreams in the project's own interface.
var NodeHeaders = []string{
	HeaderRequest, HeaderProfile, HeaderLevel, HeaderTimeout, HeaderCredit, HeaderDepth, HeaderProgress, HeaderHeldBack, HeaderRepeat, HeaderEnds,
	HeaderVisit, HeaderHome, HeaderHost, HeaderOrigin, HeaderCustomer,
	HeaderOutcome, HeaderReason, HeaderHop, HeaderWorst, HeaderCreditLeft, HeaderLoad, HeaderRetryAfterMs, HeaderPressure, HeaderWork, HeaderEndsStamp, HeaderStale,
}

// PropagatedHeaders are what an upstream copies onto its own calls.
var PropagatedHeaders = []string{HeaderRequest, HeaderVisit, HeaderTraceParent}

// Bounds on what headers may hold. Anything over them is refused.
const (
	// MaxKeyLength is the longest idempotency key, in bytes.
	MaxKeyLength = 200
	// MaxTimeout is the longest time that a call may have left.
	MaxTimeout = 10 * time.Minute
	// MaxCredit is the most extra attempts that a call may be handed.
	MaxCredit = 64
	// MaxDepth is the most hops below the root. It ends loops of services
	// that call each other.
	MaxDepth = 64
	// MaxProgress is where the count of calls that have run stops.
	MaxProgress = 64

	// MaxOriginLength is the longest Context.Origin, in bytes.
	MaxOriginLength = 1024

	// maxNameLength is the longest name of a profile, service or reason, in
	// bytes.
	maxNameLength = 63
	// maxCustomerLength is the longest name of a customer, in bytes.
	maxCustomerLength = 256
	// maxHostLength is the longest Host: a name (RFC 1035) and a port.
	maxHostLength = 253 + 6
	// maxDigits keeps every number read from a header far from overflow.
	maxDigits = 7
	// maxLoad is the highest load in a Report, a hundred times the limit.
	maxLoad = 100_000
	// maxPressure is the whole, in thousandths.
	maxPressure = 1000
	// maxEnds is where the count of upstreams that have ended stops.
	maxEnds = 100
	// maxEndsStamp is where the stamps of a Report stop.
	maxEndsStamp = 1_000_000
	// maxWork is the most work of a Report, in milliseconds.
	maxWork = 1_000_000
)

// Context is what one call carries down the chain.
type Context struct {
	// RequestID is the root request's id, the same at every hop.
	RequestID string
	// Profile is the name of the root's profile.
	Profile string
	// Level is the call's place in the shed order, set by the root.
	Level Level
	// Timeout is what was left of the deadline when the call was sent. On the
	// wire it has whole milliseconds.
	Timeout time.Duration
	// Credit is the number of extra attempts handed down with this call.
	Credit int
	// Depth is the number of hops below the root, which has 0.
	Depth int
	// Progress is how many calls had run for the request when this call was
	// made, as far as its way down knows: those of the visits that it comes
	// from. It never falls on the way down and stops at MaxProgress.
	Progress int
	// HeldBack is the share of the requests like this one that the root refused for
	// an overload below when it let this one begin, in thousandths: of so many more
	// requests would there have been calls.
	HeldBack int
	// Repeat tells that an upstream may have had this call before, or that the
	// call is made by a run of which that is so. The load is then a retry's, at
	// whatever depth.
	Repeat bool
	// Ends is how many upstreams in turn are known to have ended while they ran the
	// call.
	Ends int
	// Host is the Host that the caller named, "" where it is the service.
	Host string
	// Origin is the service on the VM where the request entered the system,
	// "" where nobody has to be told.
	Origin string
	// Customer is the name of the customer whose request it is, "" for a call and
	// where there is none.
	Customer string
}

// Inject writes c to h, replacing what was there.
func (c Context) Inject(h http.Header) {
	h.Set(HeaderRequest, c.RequestID)
	h.Set(HeaderProfile, c.Profile)
	h.Set(HeaderLevel, strconv.Itoa(int(c.Level)))
	// A deadline may pass before this line. Below 0, the header would be a broken
	// one at the next hop, and the call a bad request.
	left := min(max(c.Timeout, 0), MaxTimeout)
	h.Set(HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(HeaderCredit, strconv.Itoa(c.Credit))
	h.Set(HeaderDepth, strconv.Itoa(c.Depth))
	setOptional(h, HeaderHost, c.Host)
	setOptional(h, HeaderOrigin, url.PathEscape(c.Origin))
	setOptional(h, HeaderCustomer, url.PathEscape(c.Customer))
	setOptionalNumber(h, HeaderProgress, c.Progress)
	setOptionalNumber(h, HeaderHeldBack, min(c.HeldBack, maxPressure))
	setOptionalNumber(h, HeaderRepeat, flag(c.Repeat))
	setOptionalNumber(h, HeaderEnds, min(c.Ends, maxEnds))
}

// flag is a truth as a number.
func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}

// setOptionalNumber sets a header that is absent at 0.
func setOptionalNumber(h http.Header, name string, value int) {
	if value == 0 {
		h.Del(name)
		return
	}
	h.Set(name, strconv.Itoa(value))
}

// setOptional sets a header that is absent when its value is empty.
func setOptional(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// Extract reads a Context that another node wrote. A missing, malformed or
// out-of-range header is a *HeaderError.
func Extract(h http.Header) (Context, error) {
	var c Context
	var err error
	if c.RequestID, err = ReadID(h, HeaderRequest); err != nil {
		return Context{}, err
	}
	if c.Profile, err = token(h, HeaderProfile, maxNameLength); err != nil {
		return Context{}, err
	}
	level, err := number(h, HeaderLevel, int(MaxLevel))
	if err != nil {
		return Context{}, err
	}
	timeout, err := number(h, HeaderTimeout, int(MaxTimeout.Milliseconds()))
	if err != nil {
		return Context{}, err
	}
	if c.Credit, err = number(h, HeaderCredit, MaxCredit); err != nil {
		return Context{}, err
	}
	if c.Depth, err = number(h, HeaderDepth, MaxDepth); err != nil {
		return Context{}, err
	}
	if c.Progress, err = optionalNumber(h, HeaderProgress, MaxProgress); err != nil {
		return Context{}, err
	}
	if c.HeldBack, err = optionalNumber(h, HeaderHeldBack, maxPressure); err != nil {
		return Context{}, err
	}
	repeat, err := optionalNumber(h, HeaderRepeat, 1)
	if err != nil {
		return Context{}, err
	}
	if c.Ends, err = optionalNumber(h, HeaderEnds, maxEnds); err != nil {
		return Context{}, err
	}
	if c.Host, err = optionalToken(h, HeaderHost, maxHostLength); err != nil {
		return Context{}, err
	}
	if c.Origin, err = optionalText(h, HeaderOrigin, MaxOriginLength); err != nil {
		return Context{}, err
	}
	if c.Customer, err = optionalText(h, HeaderCustomer, maxCustomerLength); err != nil {
		return Context{}, err
	}
	c.Level = Level(level)
	c.Repeat = repeat == 1
	c.Timeout = time.Duration(timeout) * time.Millisecond
	return c, nil
}

// Report is what an answer tells the hop above.
type Report struct {
	Outcome Outcome
	// Reason is ReasonNone on a complete answer.
	Reason Reason
	// Hop is the service whose node gave the reason.
	Hop string
	// Worst is the highest admission level at or below the answering hop.
	Worst Level
	// CreditLeft is the unused part of the credit handed down.
	CreditLeft int
	// Load is in thousandths of the answering node's limit; Inject writes at
	// most a hundred times the limit.
	Load int
	// Pressure is the share of the requests leading here that should not begin,
	// in thousandths.
	Pressure int
	// Work is how long the request held slots of the upstream that Pressure comes
	// from, in milliseconds. Inject writes at most a thousand seconds.
	Work int
	// Ends is how many upstreams in turn have ended while they ran the call, the
	// answering hop's included. Inject writes at most 100.
	Ends int
	// EndsStamp orders what different hops tell of Ends: a later word has a higher
	// one. It stops at a million.
	EndsStamp uint64
}

// Inject writes r to the headers of an answer.
func (r Report) Inject(h http.Header) {
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.Reason != ReasonNone {
		h.Set(HeaderReason, string(r.Reason))
	}
	if r.Hop != "" {
		h.Set(HeaderHop, r.Hop)
	}
	h.Set(HeaderWorst, strconv.Itoa(int(r.Worst)))
	h.Set(HeaderCreditLeft, strconv.Itoa(r.CreditLeft))
	h.Set(HeaderLoad, strconv.Itoa(min(r.Load, maxLoad)))
	if r.Pressure > 0 {
		h.Set(HeaderPressure, strconv.Itoa(min(r.Pressure, maxPressure)))
	}
	if r.Work > 0 {
		h.Set(HeaderWork, strconv.Itoa(min(r.Work, maxWork)))
	}
	if r.Ends > 0 {
		h.Set(HeaderEnds, strconv.Itoa(min(r.Ends, maxEnds)))
		setOptionalNumber(h, HeaderEndsStamp, int(min(r.EndsStamp, maxEndsStamp)))
	}
}

// ExtractReport reads the report of a peer's answer. On an error the report
// must be taken as Unknown: an answer without a readable outcome proves nothing.
func ExtractReport(h http.Header) (Report, error) {
	var r Report
	outcome, err := ParseOutcome(h.Get(HeaderOutcome))
	if err != nil {
		return Report{}, err
	}
	worst, err := number(h, HeaderWorst, int(MaxLevel)+1)
	if err != nil {
		return Report{}, err
	}
	if r.CreditLeft, err = number(h, HeaderCreditLeft, MaxCredit); err != nil {
		return Report{}, err
	}
	if r.Load, err = number(h, HeaderLoad, maxLoad); err != nil {
		return Report{}, err
	}
	if r.Pressure, err = optionalNumber(h, HeaderPressure, maxPressure); err != nil {
		return Report{}, err
	}
	if r.Work, err = optionalNumber(h, HeaderWork, maxWork); err != nil {
		return Report{}, err
	}
	if r.Ends, err = optionalNumber(h, HeaderEnds, maxEnds); err != nil {
		return Report{}, err
	}
	stamp, err := optionalNumber(h, HeaderEndsStamp, maxEndsStamp)
	if err != nil {
		return Report{}, err
	}
	r.EndsStamp = uint64(stamp)
	if reason := h.Get(HeaderReason); len(reason) <= maxNameLength {
		r.Reason = Reason(reason)
	}
	if hop := h.Get(HeaderHop); len(hop) <= maxNameLength {
		r.Hop = hop
	}
	r.Outcome = outcome
	r.Worst = Level(worst)
	return r, nil
}

// token reads a header of 1 to limit visible ASCII characters.
func token(h http.Header, name string, limit int) (string, error) {
	value := h.Get(name)
	if !ValidToken(value, limit) {
		return "", &HeaderError{Header: name, Value: value, Want: "1 to " + strconv.Itoa(limit) + " visible ASCII characters"}
	}
	return value, nil
}

// optionalToken is token for a header that may be absent.
func optionalToken(h http.Header, name string, limit int) (string, error) {
	if len(h[name]) == 0 {
		return "", nil
	}
	return token(h, name, limit)
}

// optionalText reads a header that may be absent and whose value is escaped as a part
// of a path: names that others choose may hold what no header can.
func optionalText(h http.Header, name string, limit int) (string, error) {
	const escaped = 3
	value, err := optionalToken(h, name, limit*escaped)
	if err != nil {
		return "", err
	}
	text, err := url.PathUnescape(value)
	if err != nil || len(text) > limit {
		return "", &HeaderError{Header: name, Value: value, Want: "at most " + strconv.Itoa(limit) + " bytes, escaped"}
	}
	return text, nil
}

// ValidToken reports whether s is 1 to limit visible ASCII characters.
func ValidToken(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// number reads a decimal header between 0 and limit, without sign.
func number(h http.Header, name string, limit int) (int, error) {
	value := h.Get(name)
	n, ok := parseDigits(value)
	if !ok || n > limit {
		return 0, &HeaderError{Header: name, Value: value, Want: "a number from 0 to " + strconv.Itoa(limit)}
	}
	return n, nil
}

// optionalNumber is number for a header that is absent at 0.
func optionalNumber(h http.Header, name string, limit int) (int, error) {
	if len(h.Values(name)) == 0 {
		return 0, nil
	}
	return number(h, name, limit)
}

// parseDigits reads 1 to maxDigits decimal digits and nothing else. The
// strconv functions also take a sign, which two peers could read differently.
func parseDigits(s string) (n int, ok bool) {
	if s == "" || len(s) > maxDigits {
		return 0, false
	}
	for i := range len(s) {
		digit := s[i] - '0'
		if digit > 9 {
			return 0, false
		}
		n = n*10 + int(digit)
	}
	return n, true
}
