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

// failure is what a call below came back with instead of an answer.
type failure struct {
	outcome, reason, hop string
}

// callBelow makes the calls below and returns their answers, or the first
// failure.
func (k *work) callBelow() ([]string, *failure) {
	answers := make([]string, len(k.call.Below))
	failures := make([]*failure, len(k.call.Below))
	var parallel sync.WaitGroup
	for i, child := range k.call.Below {
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

// giveUp passes on why a call below failed, as the contract for upstreams asks.
func (k *work) giveUp(f *failure) {
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

// lost is a call below that has no answer.
var lost = &failure{outcome: call.Unknown.String(), reason: string(call.ReasonLost)}

// requestBelow makes the request of a call below, named as its own or not.
func (k *work) requestBelow(ctx context.Context, c Call, step string, named bool) (*http.Request, error) {
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
	if named {
		for _, name := range call.PropagatedHeaders {
			req.Header.Set(name, k.r.Header.Get(name))
		}
	}
	return req, nil
}

// callOut makes one call through the own node.
func (k *work) callOut(ctx context.Context, c Call, step string, named bool) (string, *failure) {
	req, err := k.requestBelow(ctx, c, step, named)
	if err != nil {
		return "", lost
	}
	resp, err := k.out.RoundTrip(req)
	if err != nil {
		return "", lost
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", lost
	}
	if resp.Header.Get(call.HeaderOutcome) != call.Complete.String() {
		h := resp.Header
		return "", &failure{outcome: h.Get(call.HeaderOutcome), reason: h.Get(call.HeaderReason), hop: h.Get(call.HeaderHop)}
	}
	return string(answer), nil
}

// lateAfter is how long after its answer an upstream calls out.
const lateAfter = 50 * time.Millisecond

// callLater calls out for a request that will have been answered by then.
func (k *work) callLater() {
	service := k.service
	if len(k.call.Below) > 0 {
		service = k.call.Below[0].Service
	}
	_ = http.NewResponseController(k.w).Flush()
	late := Call{Service: service, Method: http.MethodPost, Path: "/late"}
	k.late.Go(func() {
		time.Sleep(lateAfter)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(k.r.Context()), time.Second)
		defer cancel()
		k.callOut(ctx, late, k.step+".late", true)
	})
}
