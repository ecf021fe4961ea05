package call

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Headers of a call on its way downstream. An upstream that makes calls of its own
// copies those in PropagatedHeaders from the request that it is serving.
const (
	// HeaderRequest is the id of the root request, the same at every hop.
	HeaderRequest = "Pollengauge-Request"
	// HeaderProfile is the name of the root's profile.
	HeaderProfile = "Pollengauge-Profile"
	// HeaderLevel is the Level as a decimal number.
	HeaderLevel = "Pollengauge-Level"
	// HeaderTimeout is the time left until the deadline, in whole milliseconds. It is
	// relative, so clocks need not be synchronized.
	HeaderTimeout = "Pollengauge-Timeout-Ms"
	// HeaderCredit is the number of extra attempts this call may still make.
	HeaderCredit = "Pollengauge-Credit"
	// HeaderDepth is the number of hops from the root to the call; it is 0 for the
	// root.
	HeaderDepth = "Pollengauge-Depth"
	// HeaderProgress is the number of calls of the request that have already run. It is
	// absent at 0.
	HeaderProgress = "Pollengauge-Progress"
	// HeaderHeldBack is the share of requests that the root was refusing when it
	// admitted this one, in thousandths. It is absent at 0.
	HeaderHeldBack = "Pollengauge-Held-Back"
	// HeaderRepeat marks a call whose work an upstream may already have done. It is
	// absent from other calls.
	HeaderRepeat = "Pollengauge-Repeat"
	// HeaderEnds is the number of upstreams in succession that are known to have
	// crashed while they ran the call: before this attempt in a request, including this
	// attempt in a response. It is absent at 0.
	HeaderEnds = "Pollengauge-Upstream-Ends"
	// HeaderVisit identifies, between an upstream and its own node, the call that the
	// upstream is serving.
	HeaderVisit = "Pollengauge-Visit"
	// HeaderHome marks a call that was forwarded to the owner of its idempotency key.
	HeaderHome = "Pollengauge-Home"
	// HeaderHost, between nodes, is the Host that the caller used, if it differs from
	// the service.
	HeaderHost = "Pollengauge-Host"
	// HeaderOrigin, between nodes, is the service of the VM where the request entered
	// the system.
	HeaderOrigin = "Pollengauge-Origin"
	// HeaderCustomer is the name of the request's customer. Between nodes it is escaped
	// like a path segment. It is absent if there is no customer.
	HeaderCustomer = "Pollengauge-Customer"
	// HeaderAPIKey is the header in which callers send their customer's API key.
	HeaderAPIKey = "X-Api-Key"
	// HeaderIdempotencyKey is the header in which callers send an idempotency key; its
	// name is part of the public API.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTraceParent is the header of the W3C trace context.
	HeaderTraceParent = "Traceparent"
)

// Headers of a response.
const (
	// HeaderOutcome is complete, not-run or unknown.
	HeaderOutcome = "Pollengauge-Outcome"
	// HeaderReason is a Reason; it is absent if the reason is ReasonNone.
	HeaderReason = "Pollengauge-Reason"
	// HeaderHop is the service whose node gave the reason.
	HeaderHop = "Pollengauge-Hop"
	// HeaderWorst is the highest admission level at the responding hop and the hops
	// downstream of it.
	HeaderWorst = "Pollengauge-Worst-Level"
	// HeaderCreditLeft is the unused part of the credit that came with the call.
	HeaderCreditLeft = "Pollengauge-Credit-Left"
	// HeaderLoad is the responding node's load, in thousandths of its limit.
	HeaderLoad = "Pollengauge-Load"
	// HeaderEndsStamp orders the values of HeaderEnds that different hops report. It is
	// absent at 0.
	HeaderEndsStamp = "Pollengauge-Upstream-Ends-Stamp"
	// HeaderRetryAfterMs is Retry-After in milliseconds, for clients that can use a
	// finer resolution than the standard header's whole seconds.
	HeaderRetryAfterMs = "Pollengauge-Retry-After-Ms"
	// HeaderPressure is the downstream pressure: the share, in thousandths, of the
	// requests leading to the responding hop or further downstream that should not
	// start.
	HeaderPressure = "Pollengauge-Pressure"
	// HeaderWork is how long the request occupied slots of the upstream that causes the
	// reported pressure, in whole milliseconds. It is absent at 0.
	HeaderWork = "Pollengauge-Work"
	// HeaderStale is the age in seconds of a stored response that was returned in place
	// of a fresh one (brownout).
	HeaderStale = "Pollengauge-Stale"
)

// NodeHeaders are the headers that only nodes may set: those that they exchange with
// each other, and with their upstreams in the project's own interface.
var NodeHeaders = []string{
	HeaderRequest, HeaderProfile, HeaderLevel, HeaderTimeout, HeaderCredit, HeaderDepth, HeaderProgress, HeaderHeldBack, HeaderRepeat, HeaderEnds,
	HeaderVisit, HeaderHome, HeaderHost, HeaderOrigin, HeaderCustomer,
	HeaderOutcome, HeaderReason, HeaderHop, HeaderWorst, HeaderCreditLeft, HeaderLoad, HeaderRetryAfterMs, HeaderPressure, HeaderWork, HeaderEndsStamp, HeaderStale,
	HeaderUpstreamInstance, HeaderUpstreamLimit, HeaderUpstreamLeaving, HeaderTargetLoad,
}

// PropagatedHeaders are the headers that an upstream copies to its own calls.
var PropagatedHeaders = []string{HeaderRequest, HeaderVisit, HeaderTraceParent}

// Bounds of header values. A value above its bound is refused.
const (
	// MaxKeyLength is the longest idempotency key, in bytes.
	MaxKeyLength = 200
	// MaxTimeout is the longest time that a call may have left until its deadline.
	MaxTimeout = 10 * time.Minute
	// MaxCredit is the highest credit that a call may have.
	MaxCredit = 64
	// MaxDepth is the highest number of hops downstream of the root. It stops loops of
	// services that call each other.
	MaxDepth = 64
	// MaxProgress is the highest count of calls that have run; the count stops there.
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
	// maxLoad is the highest Report.Load, a hundred times the limit.
	maxLoad = 100_000
	// maxShare is the highest value of a share, which is in thousandths.
	maxShare = 1000
	// maxCrashes is the highest count of crashed upstreams; the count stops there.
	maxCrashes = 100
	// maxCrashesStamp is the highest Report.EndsStamp.
	maxCrashesStamp = 1_000_000
	// maxWork is the highest Report.Work, in milliseconds.
	maxWork = 1_000_000
)

// Context is the information that a call carries downstream.
type Context struct {
	// RequestID is the id of the root request, the same at every hop.
	RequestID string
	// Profile is the name of the root's profile.
	Profile string
	// Level is the call's place in the shed order, set by the root.
	Level Level
	// Timeout is the time that was left until the deadline when the call was sent. On
	// the wire it is in whole milliseconds.
	Timeout time.Duration
	// Credit is the number of extra attempts that this call may use.
	Credit int
	// Depth is the number of hops from the root to the call; it is 0 for the root.
	Depth int
	// Progress is the number of calls that had run for the request when this call was
	// made. It counts only those of the visits that led to this call, never decreases
	// on the way downstream, and stops at MaxProgress.
	Progress int
	// RefusedShare is the share, in thousandths, of requests like this one that the root
	// was refusing because of an overload downstream when it admitted this one. A hop
	// uses it to estimate the demand that it would have without those refusals.
	RefusedShare int
	// Repeat reports whether an upstream may already have received this call, or the
	// call is made by a run for which that is so. Its load is then that of a retry, at
	// every depth.
	Repeat bool
	// Ends is the number of upstreams in succession that are known to have crashed
	// while they ran the call.
	Ends int
	// Host is the Host that the caller used, "" if it is the service.
	Host string
	// Origin is the service of the VM where the request entered the system, "" if no
	// hop needs it.
	Origin string
	// Customer is the name of the request's customer, "" for an upstream's call and if
	// there is no customer.
	Customer string
	// Upstream is what the sender last heard from the upstream that the call is sent to.
	Upstream UpstreamNotice
}

// Inject writes c to h, replacing existing values.
func (c Context) Inject(h http.Header) {
	f := newHeaderFields(h, maxContextFields)
	f.set(HeaderRequest, c.RequestID)
	f.set(HeaderProfile, c.Profile)
	f.setNumber(HeaderLevel, int(c.Level))
	// The deadline may have passed by now. The next hop would refuse a negative value
	// as a malformed header, and the caller would receive a bad-request error.
	left := min(max(c.Timeout, 0), MaxTimeout)
	f.set(HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	f.setNumber(HeaderCredit, c.Credit)
	f.setNumber(HeaderDepth, c.Depth)
	f.setOptional(HeaderHost, c.Host)
	f.setOptional(HeaderOrigin, url.PathEscape(c.Origin))
	f.setOptional(HeaderCustomer, url.PathEscape(c.Customer))
	f.setOptionalNumber(HeaderProgress, c.Progress)
	f.setOptionalNumber(HeaderHeldBack, min(c.RefusedShare, maxShare))
	f.setOptionalNumber(HeaderRepeat, boolToInt(c.Repeat))
	f.setOptionalNumber(HeaderEnds, min(c.Ends, maxCrashes))
	c.Upstream.Inject(h)
}

// maxContextFields and maxReportFields are the numbers of headers of a Context and of a
// Report.
const (
	maxContextFields = 13
	maxReportFields  = 10
)

// boolToInt converts a boolean to 0 or 1.
func boolToInt(set bool) int {
	if set {
		return 1
	}
	return 0
}

// Extract reads the Context that another node wrote. For a missing, malformed or
// out-of-range header the error is a *HeaderError.
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
	if c.RefusedShare, err = optionalNumber(h, HeaderHeldBack, maxShare); err != nil {
		return Context{}, err
	}
	repeat, err := optionalNumber(h, HeaderRepeat, 1)
	if err != nil {
		return Context{}, err
	}
	if c.Ends, err = optionalNumber(h, HeaderEnds, maxCrashes); err != nil {
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
	if c.Upstream, err = ExtractUpstreamNotice(h); err != nil {
		return Context{}, err
	}
	c.Level = Level(level)
	c.Repeat = repeat == 1
	c.Timeout = time.Duration(timeout) * time.Millisecond
	return c, nil
}

// Report is the information that a response carries back to the calling hop.
type Report struct {
	Outcome Outcome
	// Reason is ReasonNone on a complete response that is not an error.
	Reason Reason
	// Hop is the service whose node gave the reason.
	Hop string
	// HighestAdmitLevel is the highest admission level at the responding hop and the hops
	// downstream of it.
	HighestAdmitLevel Level
	// CreditLeft is the unused part of the credit that came with the call.
	CreditLeft int
	// Load is in thousandths of the responding node's limit. Inject writes at most a
	// hundred times the limit.
	Load int
	// Pressure is the share, in thousandths, of the requests leading to this hop or
	// further downstream that should not start.
	Pressure int
	// Work is how long the request occupied slots of the upstream that causes Pressure,
	// in milliseconds. Inject writes at most a thousand seconds.
	Work int
	// Ends is the number of upstreams in succession that have crashed while they ran
	// the call, including the responding hop's. Inject writes at most 100.
	Ends int
	// EndsStamp orders the values of Ends that different hops report: a newer value has
	// a higher stamp. It stops at a million.
	EndsStamp uint64
	// Upstream is what the upstream states about itself at the time of the response.
	Upstream UpstreamNotice
	// TargetLoad is the last load report of the responding hop's upstream.
	TargetLoad TargetLoad
}

// Inject writes r to the headers of a response.
func (r Report) Inject(h http.Header) {
	f := newHeaderFields(h, maxReportFields)
	f.set(HeaderOutcome, r.Outcome.String())
	if r.Reason != ReasonNone {
		f.set(HeaderReason, string(r.Reason))
	}
	if r.Hop != "" {
		f.set(HeaderHop, r.Hop)
	}
	f.setNumber(HeaderWorst, int(r.HighestAdmitLevel))
	f.setNumber(HeaderCreditLeft, r.CreditLeft)
	f.setNumber(HeaderLoad, min(r.Load, maxLoad))
	if r.Pressure > 0 {
		f.setNumber(HeaderPressure, min(r.Pressure, maxShare))
	}
	if r.Work > 0 {
		f.setNumber(HeaderWork, min(r.Work, maxWork))
	}
	if r.Ends > 0 {
		f.setNumber(HeaderEnds, min(r.Ends, maxCrashes))
		f.setOptionalNumber(HeaderEndsStamp, int(min(r.EndsStamp, maxCrashesStamp)))
	}
	r.Upstream.Inject(h)
	r.TargetLoad.Inject(h)
}

// ExtractReport reads the Report of a peer's response. If it returns an error, the
// caller must take the outcome as Unknown: a response without a readable outcome proves
// nothing.
func ExtractReport(h http.Header) (Report, error) {
	var r Report
	outcome, err := ParseOutcome(fieldOf(h, HeaderOutcome))
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
	if r.Pressure, err = optionalNumber(h, HeaderPressure, maxShare); err != nil {
		return Report{}, err
	}
	if r.Work, err = optionalNumber(h, HeaderWork, maxWork); err != nil {
		return Report{}, err
	}
	if r.Ends, err = optionalNumber(h, HeaderEnds, maxCrashes); err != nil {
		return Report{}, err
	}
	stamp, err := optionalNumber(h, HeaderEndsStamp, maxCrashesStamp)
	if err != nil {
		return Report{}, err
	}
	r.EndsStamp = uint64(stamp)
	if r.Upstream, err = ExtractUpstreamNotice(h); err != nil {
		return Report{}, err
	}
	r.TargetLoad = targetLoadOf(h)
	if reason := fieldOf(h, HeaderReason); len(reason) <= maxNameLength {
		r.Reason = Reason(reason)
	}
	if hop := fieldOf(h, HeaderHop); len(hop) <= maxNameLength {
		r.Hop = hop
	}
	r.Outcome = outcome
	r.HighestAdmitLevel = Level(worst)
	return r, nil
}

// token reads a header of 1 to limit visible ASCII characters.
func token(h http.Header, name string, limit int) (string, error) {
	value := fieldOf(h, name)
	if !ValidToken(value, limit) {
		return "", &HeaderError{Header: name, Value: value, Want: "1 to " + strconv.Itoa(limit) + " visible ASCII characters"}
	}
	return value, nil
}

// optionalToken is like token, but returns "" for an absent header.
func optionalToken(h http.Header, name string, limit int) (string, error) {
	if len(h[name]) == 0 {
		return "", nil
	}
	return token(h, name, limit)
}

// optionalText reads a header that may be absent and whose value is escaped like a path
// segment. Names that others choose may contain characters that a header can't.
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

// number reads an unsigned decimal header value from 0 to limit.
func number(h http.Header, name string, limit int) (int, error) {
	value := fieldOf(h, name)
	n, ok := parseDigits(value)
	if !ok || n > limit {
		return 0, &HeaderError{Header: name, Value: value, Want: "a number from 0 to " + strconv.Itoa(limit)}
	}
	return n, nil
}

// optionalNumber is like number, but returns 0 for an absent header.
func optionalNumber(h http.Header, name string, limit int) (int, error) {
	if len(h.Values(name)) == 0 {
		return 0, nil
	}
	return number(h, name, limit)
}

// parseDigits parses 1 to maxDigits decimal digits and nothing else. The strconv
// functions also accept a sign, which two peers might read differently.
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
