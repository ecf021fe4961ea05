package load

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/demo/upstream"
	"pollengauge.dev/objects"
)

// maxAnswerBytes is the maximum number of bytes that a client reads from one
// response body.
const maxAnswerBytes = 1 << 20

// headerRequestID is the customary header for a client's own request ID.
const headerRequestID = "X-Request-Id"

// attempt sends one try of an operation and classifies its answer.
func (r *Runner) attempt(ctx context.Context, class *Class, addr, key string, stamp upstream.Stamp) (t Try) {
	ctx, cancel := context.WithTimeout(ctx, class.Timeout)
	defer cancel()
	t = Try{Addr: addr, Sent: time.Since(r.start)}
	defer func() {
		t.AnsweredAt = time.Now()
		t.Answered = t.AnsweredAt.Sub(r.start)
	}()
	objects.Pause(ctx, r.Delay)
	resp, err := r.send(ctx, class, addr, key, stamp)
	if err != nil {
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		// The transport reported that the answer is incomplete, so the client
		// isn't misled: the try stays Unknown and isn't marked as truncated.
		return t
	}
	objects.Pause(ctx, r.Delay)
	judge(&t, class, stamp, resp, body)
	return t
}

func (r *Runner) send(ctx context.Context, class *Class, addr, key string, stamp upstream.Stamp) (*http.Response, error) {
	url := "http://" + addr + "/" + class.Target.Route + "?item=" + itemOf(stamp.Operation)
	req, err := http.NewRequestWithContext(ctx, class.Method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(upstream.HeaderOperation, stamp.String())
	req.Header.Set(headerRequestID, stamp.Operation)
	req.Header.Set("Authorization", callerOf(stamp.Operation))
	if key != "" {
		req.Header.Set(call.HeaderIdempotencyKey, key)
	}
	return r.client.Do(req)
}

// judge compares an answer with its request and records the result in t. A
// complete answer must name this operation, service and route and contain its
// last line. An answer marked as stored may name another operation with the
// same caller and item.
func judge(t *Try, class *Class, stamp upstream.Stamp, resp *http.Response, body []byte) {
	t.Status = resp.StatusCode
	t.Reason = call.Reason(resp.Header.Get(call.HeaderReason))
	t.Hop = resp.Header.Get(call.HeaderHop)
	t.RetryAfter = retryAfter(resp.Header)
	t.Result = claimedResult(resp)
	if t.Result != Whole {
		return
	}
	answer, err := upstream.ParseAnswer(body)
	switch {
	case err != nil:
		t.Truncated = true
		t.Result = Unknown
	case answer.Service != class.Target.Service || answer.Route != class.Target.Route:
		t.Crossed = true
		t.Result = Unknown
	case resp.Header.Get(call.HeaderStale) != "" && sameCallerAndItem(answer.Stamp.Operation, stamp.Operation):
		t.Result = Stale
	case answer.Stamp.Operation != stamp.Operation:
		t.Crossed = true
		t.Result = Unknown
	default:
		t.AnswerTry = answer.Stamp.Try
	}
}

// claimedResult returns the result that the status and the outcome header of a
// response claim. A plain forwarder sends no outcome header, and its 5xx
// responses don't show whether the operation ran: they are Unknown.
func claimedResult(resp *http.Response) Result {
	header := resp.Header.Get(call.HeaderOutcome)
	outcome, err := call.ParseOutcome(header)
	succeeded := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case header != "" && err != nil:
		return Unknown
	case outcome == call.NotRun && header != "":
		return NotRun
	case outcome == call.Unknown && header != "":
		return Unknown
	case succeeded:
		return Whole
	case resp.StatusCode >= http.StatusInternalServerError && header == "":
		return Unknown
	default:
		return Failed
	}
}

// headerRetryAfterMs carries the retry delay in milliseconds; a node sends it
// along with Retry-After, which has a resolution of one second.
const headerRetryAfterMs = "Pollengauge-Retry-After-Ms"

func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(headerRetryAfterMs)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return 0
}
