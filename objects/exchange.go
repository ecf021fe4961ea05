package objects

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"pollengauge.dev/livedial"
	"pollengauge.dev/respread"
)

const (
	// idleTimeout is shorter than the usual idle timeout of servers. A write
	// therefore rarely uses a connection that the platform is just closing,
	// which would make the write ambiguous without need.
	idleTimeout  = 5 * time.Second
	maxIdleConns = 4
	maxHeader    = 16 << 10
)

// newHTTPClient returns the HTTP client for all calls of a Client. It does not
// follow redirects: on a 307, net/http would send a write a second time.
func newHTTPClient(options Options) *http.Client {
	dialer := livedial.Dialer(options.Timeout)
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: respread.Transport(&http.Transport{
			Proxy:                  nil,
			DialContext:            dialer.DialContext,
			TLSHandshakeTimeout:    options.Timeout,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeader,
			DisableCompression:     true,
			// A non-nil map restricts the client to HTTP/1.1. For HTTP/2,
			// net/http has additional rules for replaying requests.
			TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
		}),
	}
}

// exchange sends one call, reads the complete response and decodes it. A write
// that obtained a connection but no complete response returns an
// *AmbiguousError. A write that obtained no connection cannot have taken effect
// and returns an *UnavailableError.
func (c *Client) exchange(ctx context.Context, q Query, timeout time.Duration) (Answer, Reply, error) {
	m, err := c.options.Wire.Encode(q)
	if err != nil {
		return Answer{}, Reply{}, err
	}
	if err := c.spend(q.Op); err != nil {
		return Answer{}, Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+maxResponseTimeouts*c.options.Timeout)
	defer cancel()
	progress := startProgress(ctx, timeout, c.options.Timeout)
	defer progress.stop()
	a, err := c.send(progress.ctx, q, m, progress)
	if err != nil {
		return Answer{}, Reply{}, err
	}
	era, err := c.checkEra(q, a)
	if err != nil {
		return Answer{}, Reply{}, err
	}
	r, err := c.options.Wire.Decode(q, a)
	if err == nil && q.ExpectedEra != 0 && era != 0 && q.ExpectedEra != era {
		// The version may have been given out again, so the write may have replaced
		// another one than was meant.
		return Answer{}, Reply{}, q.ambiguous(&EraError{Era: q.ExpectedEra, Known: era})
	}
	r.setEra(era)
	if conflict, ok := err.(*ConflictError); ok {
		conflict.Current.Era = era
	}
	return a, r, err
}

// setEra states the era in which the objects of the reply were read or written.
func (r *Reply) setEra(era uint64) {
	for i := range r.Objects {
		r.Objects[i].Era = era
	}
	for i := range r.Events {
		r.Events[i].Object.Era = era
	}
}

// checkEra records the era of a response and returns it. It rejects a response that came
// late, after the store had been restored: a read may contain objects that are gone, and a write may have been
// lost again. A relaxed read may be old anyway.
func (c *Client) checkEra(q Query, a Answer) (uint64, error) {
	era := c.options.Wire.Era(a)
	known, outdated := c.era.observe(era)
	if !outdated || q.Relaxed {
		return era, nil
	}
	late := &EraError{Era: era, Known: known}
	if q.Op.Writes() {
		return 0, q.ambiguous(late)
	}
	return 0, &UnavailableError{Op: q.Op, Cause: late}
}

func (c *Client) send(ctx context.Context, q Query, m Message, p *progress) (Answer, error) {
	attempts := 0
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		attempts++
		c.counters.sent(q)
		// net/http repeats a GET when a reused connection breaks. The platform
		// counts both requests, so both are charged to the budget.
		if attempts > 1 {
			c.budget(q.Op).chargeUnchecked()
		}
	}}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), m)
	if err != nil {
		return Answer{}, err
	}
	a, err := c.roundTrip(req, p)
	if err == nil {
		return a, nil
	}
	if q.Op.Writes() && attempts > 0 {
		return Answer{}, q.ambiguous(err)
	}
	if tooLarge, ok := err.(*TooLargeError); ok {
		return Answer{}, tooLarge
	}
	return Answer{}, &UnavailableError{Op: q.Op, Cause: err}
}

// newRequest returns the HTTP request for m, with a body that net/http cannot
// rewind. If GetBody were set, the transport might resend the request by itself
// when a reused connection breaks, and so repeat a write that had already taken
// effect.
func (c *Client) newRequest(ctx context.Context, m Message) (*http.Request, error) {
	var body io.Reader
	if m.Body != nil {
		body = struct{ io.Reader }{bytes.NewReader(m.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, m.Method, c.base+m.Path, body)
	if err != nil {
		return nil, &InvalidError{Field: "request", Value: m.Path, Want: "a valid URL"}
	}
	req.ContentLength = int64(len(m.Body))
	req.GetBody = nil
	if m.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (c *Client) roundTrip(req *http.Request, p *progress) (Answer, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(p.wrap(resp.Body), c.options.MaxAnswer+1))
	if err != nil {
		return Answer{}, err
	}
	if int64(len(body)) > c.options.MaxAnswer {
		return Answer{}, &TooLargeError{What: "answer", Size: max(resp.ContentLength, 0), Limit: c.options.MaxAnswer}
	}
	return Answer{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After"), Header: resp.Header, Body: body}, nil
}

// spend takes one call from the budget for op, or returns a *RateError with the
// time until the budget allows the next call.
func (c *Client) spend(op Op) error {
	wait := c.budget(op).spend(time.Now())
	if wait == 0 {
		return nil
	}
	return &RateError{Op: op, RetryAfter: wait}
}

func (c *Client) budget(op Op) *budget {
	if op.Writes() {
		return c.writes
	}
	return c.reads
}
