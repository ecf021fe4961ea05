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

// maxAnswerBytes bounds what a client reads of one answer.
const maxAnswerBytes = 1 << 20

// headerRequestID is the customary name of a client's own request id.
const headerRequestID = "X-Request-Id"

// attempt sends one try and judges its answer.
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
		// The client knows that the answer was cut, so it claims nothing.
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

// judge compares an answer with its request. An answer that calls itself
// complete must name this operation, service and route and reach its end. One
// marked as stored may name an earlier operation of the same caller.
func judge(t *Try, class *Class, stamp upstream.Stamp, resp *http.Response, body []byte) {
	t.Status = resp.StatusCode
	t.Reason = call.Reason(resp.Header.Get(call.HeaderReason))
	t.Hop = resp.Header.Get(call.HeaderHop)
	t.RetryAfter = retryAfter(resp.Header)
	t.Result = claimed(resp)
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
	case resp.Header.Get(call.HeaderStale) != "" && sameQuestion(answer.Stamp.Operation, stamp.Operation):
		t.Result = Stale
	case answer.Stamp.Operation != stamp.Operation:
		t.Crossed = true
		t.Result = Unknown
	default:
		t.AnswerTry = answer.Stamp.Try
	}
}

// claimed returns what an answer says of itself. A plain forwarder gives no
// outcome: a failure of its kind proves nothing.
func claimed(resp *http.Response) Result {
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

// headerRetryAfterMs is the finer figure that a node adds to Retry-After.
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
