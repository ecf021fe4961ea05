package node

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/respread"
)

// pairedExchanges returns the first two exchanges of a connection and the connection's other
// end.
func pairedExchanges(c *qt.C) (conn *sealConn, next func() exchange) {
	own, other := net.Pipe()
	c.Cleanup(func() { _ = other.Close() })
	conn = &sealConn{Conn: respread.NewConn(own)}
	return conn, func() exchange { return exchange{conn: conn, number: conn.arm()} }
}

// Guards against a second, late copy of a rejection without a request id that is taken for the
// answer to the next request on the connection, which runs all the same.
func TestSecondCopyOfARejectionIsNotBelieved(t *testing.T) {
	c := qt.New(t)
	rejection := UpstreamAnswer{Outcome: call.NotRun, Reason: call.ReasonUpstreamShed, Unidentified: true}
	_, next := pairedExchanges(c)

	first := rejection
	c.Check(identify(&first, next()), qt.IsFalse, qt.Commentf("the connection is not used again"))
	c.Check(first, qt.Equals, rejection, qt.Commentf("the first answer of a connection is its own"))
	second := rejection
	c.Check(identify(&second, next()), qt.IsFalse)
	c.Check(second.Outcome, qt.Equals, call.Unknown, qt.Commentf("it may be a copy of the first"))

	_, next = pairedExchanges(c)
	identified := UpstreamAnswer{Outcome: call.Complete}
	c.Check(identify(&identified, next()), qt.IsTrue)
	after := rejection
	c.Check(identify(&after, next()), qt.IsFalse)
	c.Check(after, qt.Equals, rejection, qt.Commentf("the answer before it stated its request"))
}

// Guards against a request that is written on a connection after a rejection without a request id
// arrived there, and against one whose fate is unknown because the connection was closed under it.
func TestConnectionIsRetiredAfterAnUnidentifiedRejection(t *testing.T) {
	c := qt.New(t)
	conn, next := pairedExchanges(c)
	rejected := next()
	taken := next() // the pool has handed the connection to the next request
	rejected.retire()
	_, err := conn.Write([]byte("GET"))
	c.Check(err, qt.ErrorAs, new(*SealedError))
	state := &sendState{gotConnection: true, exchange: taken}
	c.Check(state.provedUnsent(), qt.IsTrue)

	conn, next = pairedExchanges(c)
	next().retire()
	_, err = conn.Write([]byte("GET"))
	c.Check(err, qt.IsNotNil, qt.Commentf("without another request it is closed"))
}

// Guards against an upstream that rejects without request ids and gets further requests on the
// same connections.
func TestRejectionsWithoutIDsUseAConnectionOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 1, func(w http.ResponseWriter, _ *http.Request, _ func(string, string, string) (*http.Response, error)) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		f.settle()
		for range 5 {
			f.c.Check(f.askRouted(n, "/file/x", "id").status, qt.Equals, http.StatusServiceUnavailable)
		}
		f.c.Check(n.metrics.UpstreamConns.Count(), qt.Equals, int64(5))
	})
}
