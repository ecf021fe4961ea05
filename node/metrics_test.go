package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/observe"
)

// metric returns the value of one series of a node's scrape, "" if it is missing.
func (f *fleet) metric(n *Node, series string) string {
	w := httptest.NewRecorder()
	n.MetricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range strings.Split(w.Body.String(), "\n") {
		if value, ok := strings.CutPrefix(line, series+" "); ok {
			return value
		}
	}
	return ""
}

// During an overload the engineer on call needs to know whether retries are still
// allowed, which service refuses, who holds the connections, and whether the log is
// complete. Each must be in the scrape, even if there are more services than get a label
// of their own.
func TestScrapeShowsBudgetsServicesConnectionsAndTheLog(t *testing.T) {
	inFleet(t, func(f *fleet) {
		told := &events{}
		n := f.addRouted("a", "desk", 10, echo, logged(f.c, told))
		f.settle()
		conn := f.dialFromOutside(n, OutboundListener)
		defer conn.Close()
		_, _ = io.WriteString(conn, "x")
		for i := range 40 {
			f.c.Assert(f.askRouted(n, "/browse/x", "r"+strconv.Itoa(i)).status, qt.Equals, http.StatusOK)
		}
		for range observe.DefaultEventBurst + 80 {
			n.log.Emit(observe.DrainTimeout)
		}
		synctest.Wait() // until the connections of the answered requests are closed
		f.c.Check(f.metric(n, `pollengauge_retry_budget_left{service="desk"}`), qt.Equals, "4")
		f.c.Check(f.metric(n, `pollengauge_service_level{service="desk"}`), qt.Equals, "0")
		f.c.Check(f.metric(n, `pollengauge_service_load_ratio{service="desk"}`), qt.Not(qt.Equals), "")
		f.c.Check(f.metric(n, `pollengauge_connections{listener="outbound"}`), qt.Equals, "1")
		f.c.Check(f.metric(n, `pollengauge_log_lines_lost_total{cause="left-out"}`), qt.Equals, "80")
		f.c.Check(f.metric(n, `pollengauge_log_lines_lost_total{cause="dropped"}`), qt.Equals, "0")
	})
}
