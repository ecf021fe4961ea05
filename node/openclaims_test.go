package node

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// claimsAt lists the open claims that a node reads from the platform, in all parts.
func (f *fleet) claimsAt(n *Node) []FateView {
	var all []FateView
	for _, part := range ClaimParts() {
		query, err := decodeFates(f.t.Context(), httptest.NewRequest("GET", PathFates+"?claims="+part, nil))
		f.c.Assert(err, qt.IsNil)
		response, err := n.fatesEndpoint()(f.t.Context(), query)
		f.c.Assert(err, qt.IsNil)
		all = append(all, response.(FatesResponse).Fates...)
	}
	return all
}

// A VM is lost with filings in flight whose callers brought their keys. An operator
// must find the lost VM's claims, which are still in the platform, but no claims of
// living nodes, no claim whose outcome was recorded and no expired claim.
func TestOpenClaimsOfALostOwnerAreListed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(strings.Replace(filingProfiles, "unrepeatable: true, key: optional, record: none", "unrepeatable: true, key: optional, record: claim", 1))
		shortly := func(s *Settings) { s.KeyWindow = time.Minute }
		a := f.add("a", "filing", 10, fileSlowly, shortly)
		b := f.add("b", "filing", 10, fileSlowly, shortly)
		f.settle()
		f.c.Check(f.file(a, "ended").outcome, qt.Equals, "complete")
		f.c.Check(f.file(b, "elsewhere").outcome, qt.Equals, "complete")
		time.Sleep(5 * time.Second)
		go f.file(a, "open-1")
		go f.file(a, "open-2")
		go f.file(b, "open-3")
		time.Sleep(100 * time.Millisecond)
		f.c.Check(f.claimsAt(b), qt.HasLen, 0)
		f.lose("a")
		claims := f.claimsAt(b)
		f.c.Check(claims, qt.HasLen, 2)
		for _, claim := range claims {
			f.c.Check(claim.Home, qt.Equals, a.ID())
			f.c.Check(claim.State, qt.Equals, "claimed")
		}
		time.Sleep(time.Minute)
		f.c.Check(f.claimsAt(b), qt.HasLen, 0)
	})
}

// The list of claims is requested with invalid parts, from a node without a platform,
// or while the platform is unavailable. Each case must return an error of its own type,
// and none may look like an empty list.
func TestOpenClaimsThatCannotBeRead(t *testing.T) {
	inFleet(t, func(f *fleet) {
		for _, part := range []string{"x", "A", "00000", "1."} {
			_, err := decodeFates(f.t.Context(), httptest.NewRequest("GET", PathFates+"?claims="+part, nil))
			f.c.Check(err, qt.ErrorAs, new(*SettingError), qt.Commentf("%s", part))
		}
		down := standin.NewMemory()
		down.SetFaults(standin.Faults{Down: true})
		f.store = down
		_, err := f.add("a", "filing", 10, answerOK).openClaims(f.t.Context(), "0")
		f.c.Check(err, qt.ErrorAs, new(*objects.UnavailableError))
		f.store = nil
		_, err = f.add("b", "filing", 10, answerOK).openClaims(f.t.Context(), "0")
		f.c.Check(err, qt.ErrorAs, new(*NoPlatformError))
	})
}
