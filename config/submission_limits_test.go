package config_test

import (
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// Another build accepted a Set that exceeds limits of this build. If nodes enforced
// the limits, they would all reject it and every later version; on submission the
// operator sees the error.
func TestNodesAcceptSetsOverSubmissionLimits(t *testing.T) {
	c := qt.New(t)
	set := routedSet()
	for i := range 2 * config.MaxRoutes {
		name := "customer-" + strconv.Itoa(i)
		set.Routes = append(set.Routes, config.Route{
			Name: strings.Repeat("x", 2*config.MaxPathLength), Host: "h.example", PathPrefix: "/" + name + "/", Profile: "read", Shares: singleShare("s"),
		})
	}
	for i := range 2 * config.MaxProfiles {
		set.Profiles = append(set.Profiles, config.NewProfile("p"+strconv.Itoa(i), 1))
	}
	set.Version = 7
	c.Check(config.Validate(set), qt.ErrorAs, new(*config.ValidationError))

	watcher := config.NewStore()
	accepted, err := watcher.OfferSet(set, config.SourcePlatform)
	c.Assert(err, qt.IsNil)
	c.Check(accepted, qt.IsTrue)
	_, encoded := watcher.Encoded()
	c.Check(len(encoded) > config.MaxEncoded, qt.IsTrue)
	receiver := config.NewStore()
	accepted, err = receiver.Offer(encoded, config.SourcePeer)
	c.Assert(err, qt.IsNil)
	c.Check(accepted, qt.IsTrue)
	c.Check(receiver.Current().Route("h.example", "/customer-4000/x"), qt.IsNotNil)
}

// A peer that sends an oversized Set must not fill the memory of a node.
func TestOversizedSetsAreRejected(t *testing.T) {
	c := qt.New(t)
	_, err := config.NewStore().Offer(make([]byte, config.MaxNodeEncoded+1), config.SourcePeer)
	c.Check(err, qt.ErrorAs, new(*config.EncodingError))
}
