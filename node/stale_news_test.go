package node

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
)

// A node can't read the stored configuration, and has that very version from a peer
// of another build. Its watch lists the object again. If that counted as a later
// version, the number would go round, and each node would tell callers without a
// route to come back, until operators happen to store a higher one.
func TestUnreadableObjectOfAVersionInForceIsNoNews(t *testing.T) {
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
			newest, _ := n.config.Newest(n.now())
			f.c.Check(newest, qt.Equals, uint64(2))
			f.c.Check(f.askRouted(n, "/nowhere/x", "d").reason, qt.Equals, "no-route")
		}
	})
}

// The platform held a configuration without a version that can be read, and a node
// that watched it then leaves that to others. The operators' next version comes
// through a peer. From then on a route that isn't there must not be said to be on its
// way for good.
func TestNextVersionEndsAnUnreadableOne(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		f.settle()
		n.takeConfig(objects.Object{Kind: config.ObjectKind, Name: config.ObjectName, Value: []byte("{")})
		f.c.Check(f.askRouted(n, "/nowhere/x", "a").reason, qt.Equals, "config-behind")
		next, err := config.Parse([]byte(strings.Replace(routedSet, "version: 1", "version: 2", 1)), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(n.OfferConfig(next), qt.IsNil)
		f.c.Check(f.askRouted(n, "/nowhere/x", "b").reason, qt.Equals, "no-route")
	})
}

// One node hears of a version that nobody wrote. Told from node to node for ever, it
// would outlive that node, and callers without a route would be told to come back by
// every node, also those that start later.
func TestAVersionThatNeverComesIsForgotten(t *testing.T) {
	inFleet(t, func(f *fleet) {
		odd := f.addRouted("odd", "desk", 10, echo, withoutPlatform)
		other := f.addRouted("other", "desk", 10, echo, withoutPlatform)
		f.settle()
		odd.config.Hear(1<<52, odd.now(), odd.now())
		f.settle()
		odd.Close()
		delete(f.nodes, "odd")
		time.Sleep(10 * time.Minute)
		f.c.Check(f.askRouted(other, "/nowhere/x", "a").reason, qt.Equals, "no-route")
	})
}
