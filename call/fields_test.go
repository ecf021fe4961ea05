package call

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a header name that the readers and writers of nodes would miss, because
// they use names without converting them to the canonical form.
func TestNodeHeadersAreCanonical(t *testing.T) {
	c := qt.New(t)
	for _, name := range append(NodeHeaders, HeaderAPIKey, HeaderIdempotencyKey, HeaderTraceParent) {
		c.Check(http.CanonicalHeaderKey(name), qt.Equals, name)
	}
}

// Guards against a cost of each call that grows with every header that nodes exchange.
func TestHeadersOfACallShareOneAllocation(t *testing.T) {
	c := qt.New(t)
	h := make(http.Header, maxContextFields+maxReportFields)
	request := Context{RequestID: "id", Profile: "p", Level: 5, Timeout: time.Millisecond, Credit: 1, Depth: 1, Host: "h", Origin: "o", Customer: "c", Progress: 1, RefusedShare: 1, Repeat: true, Ends: 1}
	c.Check(testing.AllocsPerRun(100, func() { request.Inject(h) }), qt.Equals, 1.0)
	report := Report{Outcome: Complete, Reason: ReasonLost, Hop: "h", HighestAdmitLevel: 5, CreditLeft: 1, Load: 9, Pressure: 9, Work: 9, Ends: 1, EndsStamp: 9}
	c.Check(testing.AllocsPerRun(100, func() { report.Inject(h) }), qt.Equals, 1.0)
}
