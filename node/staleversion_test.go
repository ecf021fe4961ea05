package node

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
)

// A node can't read the stored configuration, but has the same version from a peer that
// runs another build. Its watch then lists the object again. If that counted as a later
// version, the nodes would keep passing the version number on to each other, and each
// would tell callers without a route to retry, until operators store a higher version.
func TestUnreadableObjectOfAVersionInForceIsNoLaterVersion(t *testing.T) {
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

// The platform stored a configuration whose version can't be read. A node that saw it
// then stops watching, and gets the operators' next version from a peer. From then on
// it must report a missing route as missing, not as a configuration that is still on
// its way.
func TestNextVersionEndsAnUnreadableOne(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		f.settle()
		n.applyConfigObject(objects.Object{Kind: config.ObjectKind, Name: config.ObjectName, Value: []byte("{")})
		f.c.Check(f.askRouted(n, "/nowhere/x", "a").reason, qt.Equals, "config-behind")
		next, err := config.Parse([]byte(strings.Replace(routedSet, "version: 1", "version: 2", 1)), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(n.OfferConfig(next), qt.IsNil)
		f.c.Check(f.askRouted(n, "/nowhere/x", "b").reason, qt.Equals, "no-route")
	})
}

// One node learns of a configuration version that was never written. If nodes reported
// it to each other forever, the version would outlive that node, and every node,
// including those that start later, would tell callers without a route to retry.
func TestAVersionThatNeverComesIsForgotten(t *testing.T) {
	inFleet(t, func(f *fleet) {
		odd := f.addRouted("odd", "desk", 10, echo, withoutPlatform)
		other := f.addRouted("other", "desk", 10, echo, withoutPlatform)
		f.settle()
		odd.config.RecordVersionNotice(1<<52, odd.now(), odd.now())
		f.settle()
		odd.Close()
		delete(f.nodes, "odd")
		time.Sleep(10 * time.Minute)
		f.c.Check(f.askRouted(other, "/nowhere/x", "a").reason, qt.Equals, "no-route")
	})
}
