package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"pollengauge.dev/call"
)

// failure is the answer to a request that could not be completed.
type failure struct {
	status int
	// The headers of the failed downstream call, which are passed on to the
	// caller.
	outcome, reason, hop string
}

// disconnectFailure returns the failure of a request whose caller has disconnected;
// nobody reads the answer.
func disconnectFailure() *failure { return &failure{status: http.StatusGatewayTimeout} }

const retryAfterSeconds = "1"

func (f *failure) write(w http.ResponseWriter) {
	h := w.Header()
	setNonEmpty(h, call.HeaderOutcome, f.outcome)
	setNonEmpty(h, call.HeaderReason, f.reason)
	setNonEmpty(h, call.HeaderHop, f.hop)
	if f.status == ShedStatus {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(f.status)
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// calls sends the calls of one step in parallel and waits for all of them. When
// one call fails, it cancels the others, because the request can no longer
// complete. It returns the first failure.
func (x *execution) calls(ctx context.Context, calls []Call) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var first sync.Once
	var failed *failure
	var group sync.WaitGroup
	for _, c := range calls {
		group.Go(func() {
			if f := x.call(ctx, c); f != nil {
				first.Do(func() { failed = f })
				cancel()
			}
		})
	}
	group.Wait()
	return failed
}

// call sends one call through the upstream's own node and reads the complete
// answer.
func (x *execution) call(ctx context.Context, c Call) *failure {
	req, err := x.request(ctx, c)
	if err != nil {
		return x.downstreamFailure(http.Header{})
	}
	resp, err := x.server.client.Do(req)
	if err != nil {
		return x.downstreamFailure(http.Header{})
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return x.downstreamFailure(http.Header{})
	}
	if resp.StatusCode != http.StatusOK {
		return x.downstreamFailure(resp.Header)
	}
	answer, err := ParseAnswer(body)
	if err != nil || answer.Stamp.Operation != x.stamp.Operation {
		return x.downstreamFailure(http.Header{})
	}
	return nil
}

func (x *execution) request(ctx context.Context, c Call) (*http.Request, error) {
	method := x.server.settings.Graph[c.Service][c.Route].Method()
	outbound := *x.server.outbound.Load()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+outbound+"/"+c.Route, nil)
	if err != nil {
		return nil, err
	}
	req.Host = c.Service
	for _, name := range call.PropagatedHeaders {
		setNonEmpty(req.Header, name, x.header.Get(name))
	}
	req.Header.Set(HeaderOperation, x.stamp.String())
	req.Header.Set(headerCaller, strconv.FormatUint(x.entry.id, decimal))
	return req, nil
}

// downstreamFailure returns the failure of this request after a downstream call downstreamFailure. A
// request may pass on the outcome not-run only if it has done no work of its
// own. Otherwise it is partly done, and its outcome is unknown.
func (x *execution) downstreamFailure(downstream http.Header) *failure {
	outcome, err := call.ParseOutcome(downstream.Get(call.HeaderOutcome))
	f := &failure{status: http.StatusBadGateway, reason: downstream.Get(call.HeaderReason), hop: downstream.Get(call.HeaderHop)}
	switch {
	case err != nil:
		// The downstream answer came from a plain forwarder, which sends no
		// outcome, or there is no complete answer.
	case outcome == call.NotRun && !x.begun:
		f.status = ShedStatus
		f.outcome = call.NotRun.String()
	default:
		f.outcome = call.Unknown.String()
	}
	return f
}
