package objects

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowPlatform is a platform whose responses arrive in parts, each after a pause.
type slowPlatform struct {
	parts int
	pause time.Duration
}

// RoundTrip implements http.RoundTripper.
func (s slowPlatform) RoundTrip(r *http.Request) (*http.Response, error) {
	body := &slowBody{ctx: r.Context(), partsLeft: s.parts, pause: s.pause}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
}

type slowBody struct {
	ctx       context.Context
	partsLeft int
	pause     time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(to []byte) (int, error) {
	if b.partsLeft == 0 {
		return 0, io.EOF
	}
	b.partsLeft--
	select {
	case <-time.After(b.pause):
		return copy(to, "x"), nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

// acceptingWire is a Wire that accepts any response and returns its whole body as
// the object's value.
type acceptingWire struct{ Wire }

// Encode implements Wire.
func (acceptingWire) Encode(Query) (Message, error) {
	return Message{Method: http.MethodGet, Path: "/"}, nil
}

// Decode implements Wire.
func (acceptingWire) Decode(_ Query, a Answer) (Reply, error) {
	return Reply{Objects: []Object{{Kind: "k", Name: "n", Version: 1, Revision: 1, Value: a.Body}}}, nil
}

// Era implements Wire.
func (acceptingWire) Era(Answer) uint64 { return 0 }

// A large object on a slow link to the platform: the response takes three times
// the timeout of a call but never stalls. If it were cut off, the client would
// request it again forever. A response that stalls, or that would trickle in
// forever, must still end the call.
func TestResponseTimeoutFollowsProgress(t *testing.T) {
	const timeout = time.Second
	for _, tc := range []struct {
		name     string
		answer   slowPlatform
		complete bool
		within   time.Duration
	}{
		{"long", slowPlatform{parts: 30, pause: timeout / 10}, true, 3 * timeout},
		{"stalls", slowPlatform{parts: 1, pause: time.Hour}, false, timeout},
		{"drips", slowPlatform{parts: 1000, pause: timeout / 2}, false, (maxResponseTimeouts + 1) * timeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				client, err := NewClient(Options{Endpoint: "http://platform:1", Wire: acceptingWire{}, Timeout: timeout})
				c.Assert(err, qt.IsNil)
				client.http = &http.Client{Transport: tc.answer}
				begin := time.Now()
				object, err := client.Get(t.Context(), "k", "n")
				c.Check(err == nil, qt.Equals, tc.complete)
				c.Check(len(object.Value) == tc.answer.parts, qt.Equals, tc.complete)
				c.Check(time.Since(begin), qt.Equals, tc.within)
				if !tc.complete {
					c.Check(err, qt.ErrorAs, new(*UnavailableError))
				}
			})
		})
	}
}
