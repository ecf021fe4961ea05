package node

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const statusProfiles = `
profiles:
- {name: default, priority: 1}
- {name: status, priority: 2, brownout: {maxAge: 20s}}
assignments:
- {service: "*", method: GET, profile: status}
`

// The upstream rejects all calls while tenants request their status. Each tenant must
// get the last response given to it, marked with its age, whatever browser it uses.
// No tenant may get another's response, and once the response is older than the
// profile allows, the request is refused.
func TestBrownoutServesTheCallersOwnStoredAnswer(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(statusProfiles)
		sheds := false
		n := f.add("front", "portal", 10, func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			if sheds {
				w.Header().Set("Pollengauge-Outcome", "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, "heating of "+r.Header.Get("Authorization")+r.Header.Get("X-Tenant"))
		})
		f.settle()
		anna := []string{"Authorization", "anna", "User-Agent", "phone"}
		f.c.Check(f.ask(n, http.MethodGet, "/status", anna...).body, qt.Equals, "heating of anna")
		f.c.Check(f.ask(n, http.MethodGet, "/status", "X-Tenant", "cecil").body, qt.Equals, "heating of cecil")
		sheds = true
		time.Sleep(5 * time.Second)
		got := f.ask(n, http.MethodGet, "/status", "Authorization", "anna", "User-Agent", "laptop")
		f.c.Check(got.status, qt.Equals, http.StatusOK)
		f.c.Check(got.body, qt.Equals, "heating of anna")
		f.c.Check(got.header.Get("Pollengauge-Stale"), qt.Equals, "5")
		f.c.Check(got.header.Get("Age"), qt.Equals, "5")
		for _, other := range [][]string{{"Authorization", "bela"}, {"X-Tenant", "dora"}, {}} {
			got := f.ask(n, http.MethodGet, "/status", other...)
			f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
			f.c.Check(got.outcome, qt.Equals, "not-run")
		}
		time.Sleep(20 * time.Second)
		f.c.Check(f.ask(n, http.MethodGet, "/status", anna...).outcome, qt.Equals, "not-run")
	})
}
