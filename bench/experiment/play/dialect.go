package play

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/node"
)

// Headers of requests and answers.
const (
	headerID      = "X-Id"
	headerTimeout = "X-Timeout-Ms"
	// headerEcho repeats the id on the upstream's own answers.
	headerEcho = "X-Echo"
	// headerNotRun states that the upstream did not run the request.
	headerNotRun = "X-Not-Run"
	headerAfter  = "X-Retry-After-Ms"
	// headerLimit and headerLeaving have what the upstream states about itself: how many
	// requests a second it takes, and that it is about to stop.
	headerLimit   = "X-Limit"
	headerLeaving = "X-Leaving"
)

// idSeparator stands between the id of a request and that of a call for it.
const idSeparator = "/"

// dialect implements node.Dialect.
type dialect struct{}

var _ node.Dialect = dialect{}

// ReadCaller implements node.Dialect.
func (dialect) ReadCaller(h http.Header) (node.CallerRequest, error) {
	id := h.Get(headerID)
	if !call.ValidToken(id, call.MaxIDLength) {
		return node.CallerRequest{}, &HeaderError{Header: headerID, Value: id}
	}
	return node.CallerRequest{ID: id, Timeout: readMillis(h.Get(headerTimeout))}, nil
}

func readMillis(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// OwnHeaders implements node.Dialect.
func (dialect) OwnHeaders() []string { return nil }

// ParentOf implements node.Dialect.
func (dialect) ParentOf(id string) string {
	return id[:max(strings.LastIndex(id, idSeparator), 0)]
}

// WriteUpstream implements node.Dialect.
func (dialect) WriteUpstream(h http.Header, u node.UpstreamRequest) {
	h.Set(headerTimeout, formatMillis(u.Timeout))
}

// ReadUpstream implements node.Dialect.
func (dialect) ReadUpstream(a *http.Response, u node.UpstreamRequest) node.UpstreamAnswer {
	if a.Header.Get(headerEcho) != u.ID {
		return node.UpstreamAnswer{Outcome: call.Unknown, Reason: call.ReasonInvalidAnswer}
	}
	answer := node.UpstreamAnswer{Outcome: call.Complete, Notice: readNotice(a.Header)}
	if a.Header.Get(headerNotRun) != "" {
		answer.Outcome, answer.Reason = call.NotRun, call.ReasonUpstreamShed
	}
	return answer
}

func readNotice(h http.Header) call.UpstreamNotice {
	notice := call.UpstreamNotice{Leaving: h.Get(headerLeaving) != ""}
	notice.Limit, notice.Limited = call.ParseLimit(h.Get(headerLimit))
	return notice
}

// WriteRefusal implements node.Dialect. Callers send an unrepeatable request
// again after a 503, so that goes only with what was not run.
func (dialect) WriteRefusal(h http.Header, r node.NodeRefusal) int {
	if r.Outcome != call.NotRun {
		return http.StatusBadGateway
	}
	if r.RetryAfter > 0 {
		h.Set(headerAfter, formatMillis(r.RetryAfter))
	}
	return http.StatusServiceUnavailable
}

// DecodeConfig implements node.Dialect.
func (dialect) DecodeConfig(value []byte) (config.Set, error) {
	return config.Parse(value, config.YAML)
}
