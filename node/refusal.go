package node

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/retry"
)

// refusal describes an answer that a node gives itself, in place of the upstream.
type refusal struct {
	outcome call.Outcome
	reason  call.Reason
	after   time.Duration
}

// Refusal is the JSON body of an answer that a node gives itself, in place of the
// upstream.
type Refusal struct {
	// Outcome is not-run or unknown.
	Outcome string `json:"outcome"`
	// Reason is one of the values of call.Reason.
	Reason string `json:"reason"`
	// Hop is the service whose node gave the reason.
	Hop string `json:"hop"`
	// Request is the id that "pollengauge explain" finds the request by.
	Request string `json:"request"`
	// RetryAfterMs is the delay before a retry, 0 if none is given.
	RetryAfterMs int64 `json:"retryAfterMs"`
}

// refuse returns an answer without an upstream's response. Its body is written only at
// the root; between nodes the headers contain everything.
func (n *Node) refuse(outcome call.Outcome, reason call.Reason, after time.Duration) *answer {
	return &answer{
		status:  refusalStatus(outcome, reason),
		header:  http.Header{},
		refusal: &refusal{outcome: outcome, reason: reason, after: after},
		report: call.Report{
			Outcome:           outcome,
			Reason:            reason,
			Hop:               n.settings.Service,
			HighestAdmitLevel: n.gate.AdmitLevel(),
			Load:              n.gate.Load(),
		},
	}
}

// refusalStatus returns the documented status code for an outcome and its reason.
func refusalStatus(outcome call.Outcome, reason call.Reason) int {
	switch reason {
	case call.ReasonBadRequest:
		return http.StatusBadRequest
	case call.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case call.ReasonKeyRequired:
		return http.StatusPreconditionRequired
	case call.ReasonKeyExpired:
		return http.StatusConflict
	}
	switch {
	case outcome == call.NotRun && reason == call.ReasonUnauthorized:
		return http.StatusUnauthorized
	case outcome == call.NotRun && reason == call.ReasonQuota:
		return http.StatusTooManyRequests
	case outcome == call.NotRun:
		return http.StatusServiceUnavailable
	case reason == call.ReasonTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// retryAfterUseful reports whether a later retry can help.
func retryAfterUseful(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// finishRefusal adds the Retry-After to a refusal and, at the root, the body. The
// refusal is sent without delay: delaying it would occupy a slot and a connection that
// other requests need.
func (n *Node) finishRefusal(a *answer, req *request) {
	if a.refusal == nil {
		return
	}
	// The node that counts the customer's requests knows best when its limit allows
	// more, so its Retry-After stays.
	if retryAfterUseful(a.status) && a.report.Reason != call.ReasonQuota {
		a.refusal.after = max(a.refusal.after, n.retryAfter(a, req))
	}
	if n.usesDialect() {
		n.writeDialectRefusal(a, req)
		return
	}
	setRetryAfter(a.header, a.refusal.after)
	if a.body != nil && a.report.Outcome != call.Complete && a.header.Get("Content-Type") != "" {
		return
	}
	a.close()
	body, err := json.Marshal(Refusal{
		Outcome:      a.report.Outcome.String(),
		Reason:       string(a.report.Reason),
		Hop:          a.report.Hop,
		Request:      req.call.RequestID,
		RetryAfterMs: a.refusal.after.Milliseconds(),
	})
	if err != nil {
		return
	}
	a.header.Set("Content-Type", "application/json")
	a.header.Del("Content-Length")
	a.resp = nil
	a.body = memoryBody(append(body, '\n'))
}

// writeDialectRefusal replaces a refusal by the dialect's form of it.
func (n *Node) writeDialectRefusal(a *answer, req *request) {
	a.close()
	a.body, a.resp, a.trailer = nil, nil, nil
	a.header = http.Header{}
	a.withoutReport = true
	a.status = n.settings.Dialect.WriteRefusal(a.header, NodeRefusal{
		ID:         req.call.RequestID,
		Outcome:    a.report.Outcome,
		Reason:     a.report.Reason,
		RetryAfter: a.refusal.after,
	})
}

func setRetryAfter(h http.Header, after time.Duration) {
	if after <= 0 {
		return
	}
	r := randPool.Get().(*rand.Rand)
	defer randPool.Put(r)
	h.Set("Retry-After", strconv.Itoa(retry.RetryAfterSeconds(after, r)))
	h.Set(call.HeaderRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
}

const maxRetryAfter = 5 * time.Minute

func parseRetryAfter(h http.Header) time.Duration {
	value := h.Get(call.HeaderRetryAfterMs)
	if value == "" {
		return 0
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxRetryAfter)
}

// randPool pools random sources for jitter, which are not safe for concurrent use.
var randPool = sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}

// retryAfter returns a random delay that spreads the retries of refused callers. It
// grows with the share of requests that are refused.
func (n *Node) retryAfter(a *answer, req *request) time.Duration {
	r := randPool.Get().(*rand.Rand)
	defer randPool.Put(r)
	base, limit := n.retryAfterBounds(req)
	return retry.After(retry.AfterInput{
		Base:         base,
		Max:          limit,
		Level:        req.call.Level,
		InForce:      a.report.HighestAdmitLevel,
		RefusedShare: n.refusedShare(req.call.Level.Priority()),
		Recovery:     profilePreference(req),
	}, r)
}

// retryAfterBounds returns the bounds of the Retry-After of a refusal. The service has used
// each of its slots once after the work of one request, and the share of refused requests is
// not computed anew sooner than after a pressure window. A caller that returns with less time
// left than its request takes can't be served.
//
// Without a dialect it returns zeros, which stand for the defaults: Retry-After has whole
// seconds there, and callers don't state how long they wait.
func (n *Node) retryAfterBounds(req *request) (base, limit time.Duration) {
	if req.profile == nil || !n.usesDialect() {
		return 0, 0
	}
	work := n.shedder.Work(req.call.Profile)
	base = max(work, admission.PressureWindow)
	return base, max(req.deadline.Sub(n.now())-work, base)
}

// profilePreference returns what the request's profile prefers. It is 0 (goodput) for a call
// that was refused before it had a profile, such as a call for a closed visit.
func profilePreference(req *request) float64 {
	if req.profile == nil {
		return 0
	}
	return float64(req.profile.Prefer)
}

// refusedShare returns the fraction of this node's recent root requests of priority p
// and above that were refused.
func (n *Node) refusedShare(p call.Priority) float64 {
	offered := n.offered.recent(p, n.now())
	if offered.total == 0 {
		return 0
	}
	return float64(offered.refused) / float64(offered.total)
}

func timeoutValue(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}
