package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/demo/upstream"
)

var testClass = Class{
	Name: "status", Target: upstream.Call{Service: "portal", Route: "status"}, Method: http.MethodGet,
	Retry: Retrying{Tries: 2, Hard: true}, Timeout: 5 * time.Second,
}

// answerOf returns the correct answer to r.
func answerOf(r *http.Request) upstream.Answer {
	stamp, _ := upstream.ParseStamp(r.Header.Get(upstream.HeaderOperation))
	return upstream.Answer{Stamp: stamp, Service: "portal", Route: "status"}
}

// firstOperation returns the first operation in numeric order that fits accepts.
func firstOperation(fits func(operation string) bool) string {
	for i := 0; ; i++ {
		if operation := strconv.Itoa(i); fits(operation) {
			return operation
		}
	}
}

// Guards against undetected wrong answers: a system under load may send an
// answer to the wrong request, or end an answer early as if it were complete.
// The status is 200 each time, so only a comparison with the request shows the
// fault. An answer whose transport reports the truncation is Unknown and is
// not counted as a fault.
func TestCrossedAndTruncatedAnswersAreNoticed(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		handler                   http.HandlerFunc
		result                    Result
		tries, crossed, truncated int
	}{
		"honest": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(answerOf(r).Bytes())
		}, Whole, 1, 0, 0},
		"another operation's answer": {func(w http.ResponseWriter, r *http.Request) {
			a := answerOf(r)
			a.Stamp.Operation = "other"
			_, _ = w.Write(a.Bytes())
		}, Unknown, 2, 2, 0},
		"another route's answer": {func(w http.ResponseWriter, r *http.Request) {
			a := answerOf(r)
			a.Route = "bookings"
			_, _ = w.Write(a.Bytes())
		}, Unknown, 2, 2, 0},
		"ends early but cleanly": {func(w http.ResponseWriter, r *http.Request) {
			body := answerOf(r).Bytes()
			_, _ = w.Write(body[:len(body)/2])
		}, Unknown, 2, 0, 2},
		"cut off openly": {func(w http.ResponseWriter, r *http.Request) {
			body := answerOf(r).Bytes()
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body[:len(body)/2])
			panic(http.ErrAbortHandler)
		}, Unknown, 2, 0, 0},
		"stored answer, marked": {func(w http.ResponseWriter, r *http.Request) {
			a := answerOf(r)
			a.Stamp.Operation = firstOperation(func(o string) bool { return sameCallerAndItem(o, "op") })
			w.Header().Set(call.HeaderStale, "3")
			_, _ = w.Write(a.Bytes())
		}, Stale, 1, 0, 0},
		"stored answer of another caller": {func(w http.ResponseWriter, r *http.Request) {
			a := answerOf(r)
			a.Stamp.Operation = firstOperation(func(o string) bool { return itemOf(o) == itemOf("op") && callerOf(o) != callerOf("op") })
			w.Header().Set(call.HeaderStale, "3")
			_, _ = w.Write(a.Bytes())
		}, Unknown, 2, 2, 0},
		"refused": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(call.HeaderOutcome, call.NotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		}, NotRun, 2, 0, 0},
		"failed for good": {func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}, Failed, 1, 0, 0},
		"unreadable outcome": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(call.HeaderOutcome, "maybe")
			_, _ = w.Write(answerOf(r).Bytes())
		}, Unknown, 2, 0, 0},
	} {
		c.Run(name, func(c *qt.C) {
			server := httptest.NewServer(test.handler)
			c.Cleanup(server.Close)
			runner := Runner{
				Classes:     []Class{testClass},
				Edges:       func(string) []string { return []string{server.Listener.Addr().String()} },
				MaxInFlight: 4,
			}
			records := runner.Run(context.Background(), []Arrival{{Operation: "op"}})
			s := Summarize(runner.Classes, records)[0]
			c.Check(records[0].Result, qt.Equals, test.result)
			c.Check(s.Offered, qt.Equals, 1)
			c.Check(s.Results[test.result], qt.Equals, 1)
			c.Check(s.Retries, qt.Equals, test.tries-1)
			c.Check(s.Crossed, qt.Equals, test.crossed)
			c.Check(s.Truncated, qt.Equals, test.truncated)
		})
	}
}

// When a stalled system fills the client's limit of operations in flight,
// operations that could not be sent must still count as offered; otherwise the
// stall would look like an idle period.
func TestOperationsOverTheBoundCountAsUnknown(t *testing.T) {
	c := qt.New(t)
	runner := Runner{Classes: []Class{testClass}, Edges: func(string) []string { return nil }}
	records := runner.Run(context.Background(), make([]Arrival, 3))
	s := Summarize(runner.Classes, records)[0]
	c.Check(s.Offered, qt.Equals, 3)
	c.Check(s.Results[Unknown], qt.Equals, 3)
}
