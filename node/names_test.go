package node

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/retry"
)

// A platform has its own rules for the names of services, zones and regions. Other
// nodes must be able to find a node by any name that it accepts at startup, and must
// be able to use that name in a call.
func TestNamesOfAPlatformCarryCalls(t *testing.T) {
	inFleet(t, func(f *fleet) {
		places := func(s *Settings) { s.Zone, s.Region = "Hall_A/1", "HU:Central" }
		front := f.addRouted("front", "Front.End~1", 10, echo, places)
		for i, service := range []string{"Van_App.2", "-app", "7", strings.Repeat("S", maxName)} {
			f.addRouted("vm"+service[:1], service, 10, echo, places)
			f.settle()
			req := &request{
				method:   http.MethodGet,
				service:  service,
				url:      &url.URL{Path: "/browse/x"},
				header:   http.Header{"X-Id": {"one"}},
				body:     &replayBody{},
				profile:  front.config.Current().Profile("read"),
				deadline: front.now().Add(time.Second),
				call:     call.Context{RequestID: "one", Profile: "read", Timeout: time.Second, Host: "desk.example"},
			}
			a := front.dispatch(f.t.Context(), req, retry.NewCredit(0))
			f.c.Check(a.report.Outcome, qt.Equals, call.Complete, qt.Commentf("%d %s: %s", i, service, a.report.Reason))
			if a.body != nil {
				body, err := io.ReadAll(a.body)
				f.c.Check(err, qt.IsNil)
				f.c.Check(string(body), qt.Equals, "answer to one")
			}
			a.close()
		}
	})
}
