package node

import (
	"net/http"
	"net/url"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

func contentRequest() *request {
	return &request{
		method:  http.MethodGet,
		url:     &url.URL{Path: "/browse/7", RawQuery: "page=2"},
		header:  http.Header{"Accept": {"text/html"}},
		body:    &replayBody{},
		profile: &config.Profile{},
		call:    call.Context{Host: "desk.example", Origin: "desk", RequestID: "one"},
	}
}

// Guards against equal fingerprints of different requests, and against different
// fingerprints of one request that comes again.
func TestFingerprintCoversTheContent(t *testing.T) {
	c := qt.New(t)
	first := contentFingerprint(contentRequest())
	again := contentRequest()
	again.call.RequestID = "two"
	again.call.Ends = 1
	c.Check(contentFingerprint(again), qt.Equals, first)
	for name, change := range map[string]func(r *request){
		"method": func(r *request) { r.method = http.MethodPost },
		"host":   func(r *request) { r.call.Host = "other.example" },
		"path":   func(r *request) { r.url.Path = "/browse/8" },
		"escape": func(r *request) { r.url.RawPath = "/browse%2f7" },
		"query":  func(r *request) { r.url.RawQuery = "page=3" },
		"origin": func(r *request) { r.call.Origin = "filing" },
		"caller": func(r *request) { r.header.Set("Authorization", "x") },
		"named": func(r *request) {
			r.profile = &config.Profile{CallerHeader: "X-Customer"}
			r.header.Set("X-Customer", "x")
		},
		"body": func(r *request) { r.body = &replayBody{head: []byte{0}} },
	} {
		other := contentRequest()
		change(other)
		c.Check(contentFingerprint(other), qt.Not(qt.Equals), first, qt.Commentf(name))
	}
}

// Guards against allocations on every call, since most calls crash no upstream.
func TestFingerprintAllocatesNothing(t *testing.T) {
	req := contentRequest()
	qt.Assert(t, testing.AllocsPerRun(100, func() { contentFingerprint(req) }), qt.Equals, 0.0)
}

// BenchmarkFingerprint measures what the fingerprint costs a call that crashes no
// upstream, in ns.
func BenchmarkFingerprint(b *testing.B) {
	req := contentRequest()
	b.ReportAllocs()
	for b.Loop() {
		contentFingerprint(req)
	}
}
