package proof

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"pollengauge.dev/call"
)

// failure describes why a downstream call has no complete answer, in the values
// of the outcome, reason and hop headers.
type failure struct {
	outcome, reason, hop string
}

// callDownstream makes the downstream calls and returns their answers, or the
// first failure.
func (k *work) callDownstream() ([]string, *failure) {
	answers := make([]string, len(k.call.Downstream))
	failures := make([]*failure, len(k.call.Downstream))
	var parallel sync.WaitGroup
	for i, child := range k.call.Downstream {
		one := func() {
			answers[i], failures[i] = k.callOut(k.r.Context(), child, childStep(k.step, i), true)
		}
		if k.call.Parallel {
			parallel.Go(one)
			continue
		}
		if one(); failures[i] != nil {
			break
		}
	}
	parallel.Wait()
	for _, failed := range failures {
		if failed != nil {
			return nil, failed
		}
	}
	return answers, nil
}

// respondFailure responds 503 with the outcome, reason and hop of the failed
// downstream call, as the contract for upstreams requires.
func (k *work) respondFailure(f *failure) {
	h := k.w.Header()
	h.Set(call.HeaderOutcome, f.outcome)
	if f.reason != "" {
		h.Set(call.HeaderReason, f.reason)
	}
	if f.hop != "" {
		h.Set(call.HeaderHop, f.hop)
	}
	k.w.WriteHeader(http.StatusServiceUnavailable)
}

// lostFailure is the failure of a downstream call without a readable answer.
var lostFailure = &failure{outcome: call.Unknown.String(), reason: string(call.ReasonLost)}

// newDownstreamRequest creates the request of a downstream call. If withContext
// is set, the request carries the context headers that tie it to the handled
// call.
func (k *work) newDownstreamRequest(ctx context.Context, c Call, step string, withContext bool) (*http.Request, error) {
	body := strings.NewReader(k.operation.request(c, step))
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Service+c.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerOperation, k.operation.ID)
	req.Header.Set(headerPresentation, k.r.Header.Get(headerPresentation))
	req.Header.Set(headerStep, step)
	if c.OwnKey != "" {
		req.Header.Set(call.HeaderIdempotencyKey, c.OwnKey)
	}
	if withContext {
		for _, name := range call.PropagatedHeaders {
			req.Header.Set(name, k.r.Header.Get(name))
		}
	}
	return req, nil
}

// callOut makes one outbound call through the upstream's own node.
func (k *work) callOut(ctx context.Context, c Call, step string, withContext bool) (string, *failure) {
	req, err := k.newDownstreamRequest(ctx, c, step, withContext)
	if err != nil {
		return "", lostFailure
	}
	resp, err := k.out.RoundTrip(req)
	if err != nil {
		return "", lostFailure
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", lostFailure
	}
	if resp.Header.Get(call.HeaderOutcome) != call.Complete.String() {
		h := resp.Header
		return "", &failure{outcome: h.Get(call.HeaderOutcome), reason: h.Get(call.HeaderReason), hop: h.Get(call.HeaderHop)}
	}
	return string(answer), nil
}

// lateCallDelay is the delay between an upstream's answer and its late outbound call.
const lateCallDelay = 50 * time.Millisecond

// callLater schedules an outbound call for a request that will already have been
// answered when the call is made.
func (k *work) callLater() {
	service := k.service
	if len(k.call.Downstream) > 0 {
		service = k.call.Downstream[0].Service
	}
	_ = http.NewResponseController(k.w).Flush()
	late := Call{Service: service, Method: http.MethodPost, Path: "/late"}
	k.background.Go(func() {
		time.Sleep(lateCallDelay)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(k.r.Context()), time.Second)
		defer cancel()
		k.callOut(ctx, late, k.step+".late", true)
	})
}
