package node

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// FAILS. This build can't read the stored configuration, and has that very version
// from a peer of another build (or the operators' next one has come through a peer
// before the watch delivered the bad one). Its watch lists the object, and the node
// "hears" of a version that nobody ever wrote. Gossip carries the number to all
// nodes, and each answers 503 config-behind in place of 404, with event 2005, until
// operators happen to store a higher version.
func TestReviewUnreadableObjectOfAVersionInForceIsNoNews(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.storeUnreadable() // version 2
		watching := f.addRouted("watching", "desk", 10, echo)
		other := f.addRouted("other", "desk", 10, echo, withoutPlatform)
		next, err := config.Parse([]byte(strings.Replace(routedSet, "version: 1", "version: 2", 1)), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(other.OfferConfig(next), qt.IsNil)
		time.Sleep(time.Minute)
		for _, n := range []*Node{watching, other} {
			f.c.Check(n.ConfigVersion(), qt.Equals, uint64(2))
			f.c.Check(n.config.Newest(), qt.Equals, uint64(2))
			f.c.Check(f.askRouted(n, "/nowhere/x", "d").reason, qt.Equals, "no-route")
		}
	})
}

// FAILS. One node hears of a version number that nobody wrote. It goes round for
// ever: after the node has gone, and for every node that starts later, a route that
// isn't there is 503 in place of 404.
func TestReviewAVersionThatNeverComesIsForgotten(t *testing.T) {
	inFleet(t, func(f *fleet) {
		odd := f.addRouted("odd", "desk", 10, echo, withoutPlatform)
		other := f.addRouted("other", "desk", 10, echo, withoutPlatform)
		f.settle()
		odd.config.Hear(1 << 52)
		f.settle()
		odd.Close()
		delete(f.nodes, "odd")
		time.Sleep(10 * time.Minute)
		f.c.Check(f.askRouted(other, "/nowhere/x", "a").reason, qt.Equals, "no-route")
	})
}
