package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/customer"
	"pollengauge.dev/objects"
)

// plainDialect is a small dialect for tests. X-Id identifies a request; an upstream
// states in X-Echo which request it answers, in X-Not-Run that it did not run it, in X-Limit
// how many requests a second it takes, and in X-Leaving that it is about to stop.
type plainDialect struct{}

func (plainDialect) ReadCaller(h http.Header) (CallerRequest, error) {
	ms, _ := strconv.Atoi(h.Get("X-Timeout"))
	return CallerRequest{ID: h.Get("X-Id"), Timeout: time.Duration(ms) * time.Millisecond, Key: customer.ReadKey(h, "X-Key")}, nil
}

func (plainDialect) OwnHeaders() []string { return []string{"X-Key", "X-Customer"} }

func (plainDialect) ParentOf(id string) string {
	return id[:max(strings.LastIndexByte(id, '/'), 0)]
}

func (plainDialect) WriteUpstream(h http.Header, u UpstreamRequest) {
	h.Set("X-Timeout", strconv.FormatInt(u.Timeout.Milliseconds(), 10))
	h.Set("X-Origin", u.Origin)
	h.Set("X-Instance", u.Instance)
	if u.Customer != "" {
		h.Set("X-Customer", u.Customer)
	}
}

func (plainDialect) ReadUpstream(a *http.Response, u UpstreamRequest) UpstreamAnswer {
	answer := plainOutcome(a, u)
	if answer.Outcome == call.Complete {
		limit, err := strconv.ParseFloat(a.Header.Get("X-Limit"), 64)
		answer.Notice = call.UpstreamNotice{Limit: limit, Limited: err == nil, Leaving: a.Header.Get("X-Leaving") != ""}
	}
	return answer
}

func plainOutcome(a *http.Response, u UpstreamRequest) UpstreamAnswer {
	switch {
	case a.Header.Get("X-Echo") == "" && a.Header.Get("X-Not-Run") != "":
		return UpstreamAnswer{Outcome: call.NotRun, Reason: call.ReasonUpstreamShed, Unidentified: true}
	case a.Header.Get("X-Echo") != u.ID:
		return UpstreamAnswer{Outcome: call.Unknown, Reason: call.ReasonInvalidAnswer}
	case a.StatusCode == http.StatusMisdirectedRequest:
		return UpstreamAnswer{Outcome: call.NotRun, Reason: call.ReasonOtherInstance, Instance: a.Header.Get("X-Instance")}
	case a.Header.Get("X-Not-Run") != "":
		return UpstreamAnswer{Outcome: call.NotRun, Reason: call.ReasonUpstreamShed}
	}
	return UpstreamAnswer{Outcome: call.Complete}
}

func (plainDialect) WriteRefusal(h http.Header, r NodeRefusal) int {
	h.Set("X-Reason", string(r.Reason))
	h.Set("X-After", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	switch {
	case r.Reason == call.ReasonUnauthorized:
		return http.StatusUnauthorized
	case r.Reason == call.ReasonQuota:
		return http.StatusTooManyRequests
	case r.Outcome == call.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (plainDialect) DecodeConfig(value []byte) (config.Set, error) {
	set, err := config.Parse(value, config.YAML)
	if err != nil {
		_, _ = fmt.Sscanf(string(value), "version: %d", &set.Version)
	}
	return set, err
}

// routedSet has one repeatable and one unrepeatable route to the service desk.
const routedSet = `
version: 1
profiles:
  - {name: default, priority: 0}
  - {name: read, priority: 13, deadline: 2s, target: 1s, maxWait: 500ms, credit: 1}
  - {name: write, priority: 15, deadline: 2s, target: 1s, maxWait: 500ms, credit: 1, unrepeatable: true}
routes:
  - {name: browse, host: desk.example, pathPrefix: /browse/, profile: read, shares: [{service: desk, weight: 1}]}
  - {name: file, host: desk.example, pathPrefix: /file/, profile: write, shares: [{service: desk, weight: 1}]}
`

// addRouted starts a node that uses plainDialect, with an upstream that announces
// itself as an incarnation.
func (f *fleet) addRouted(name, service string, slots int, h handler, adjust ...func(*Settings)) *Node {
	n := f.add(name, service, slots, h, func(s *Settings) {
		s.Edge = ""
		s.Dialect = plainDialect{}
		s.DrainTimeout = 5 * time.Second
		for _, a := range adjust {
			a(s)
		}
	})
	set, err := config.Parse([]byte(routedSet), config.YAML)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(n.OfferConfig(set), qt.IsNil)
	return n
}

// echo answers as an upstream does in plainDialect.
func echo(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
	w.Header().Set("X-Echo", r.Header.Get("X-Id"))
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Id"))
}

// askRouted sends one request as a caller on the node's VM.
func (f *fleet) askRouted(to *Node, path, id string, header ...string) reply {
	host := f.net.Host("caller")
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return host.Dial(ctx, to.Addr(OutboundListener))
		},
	}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://desk.example"+path, nil)
	f.c.Assert(err, qt.IsNil)
	req.Header.Set("X-Id", id)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, reason: resp.Header.Get("X-Reason"), body: string(body), header: resp.Header, err: err}
}

// announceAgain lets the upstream of n announce itself every 1.5 seconds, as upstreams
// do that send heartbeats.
func (f *fleet) announceAgain(n *Node) {
	a := n.upstream.Load().Announcement
	a.Instance = "one"
	go func() {
		for a.Sequence = 1; objects.Pause(f.t.Context(), 1500*time.Millisecond); a.Sequence++ {
			_ = n.Announce(a)
		}
	}()
}
