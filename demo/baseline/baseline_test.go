package baseline

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The upstream fails every request. Each hop must make its three attempts, so
// one request of the caller arrives three times. The comparison depends on this
// multiplication of retries.
func TestEachHopMakesItsAttempts(t *testing.T) {
	c := qt.New(t)
	var arrived atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	c.Cleanup(upstream.Close)
	f, err := Start(Settings{
		Service: "tracker", Upstream: upstream.Listener.Addr().String(), Registry: NewRegistry(),
		Limiter: NewStatic(1), Attempts: 3, AttemptTimeout: time.Minute,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	req, err := http.NewRequest(http.MethodGet, "http://"+f.Outbound()+"/x", nil)
	c.Assert(err, qt.IsNil)
	req.Host = "tracker"
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Body.Close(), qt.IsNil)
	c.Check(arrived.Load(), qt.Equals, int64(3))
}

func TestAIMDFollowsLatency(t *testing.T) {
	c := qt.New(t)
	a := NewAIMD(AIMDConfig{Start: 4, Most: 6, Target: time.Second})
	fillAndRelease := func(latency time.Duration) {
		for a.Acquire() {
		}
		for range a.used {
			a.Release(latency, true)
		}
	}
	for range 20 {
		fillAndRelease(time.Millisecond)
	}
	c.Check(a.Limit(), qt.Equals, 6)
	fillAndRelease(2 * time.Second)
	c.Check(a.Limit(), qt.Equals, 3)
	c.Check(a.Acquire(), qt.IsTrue)
}
