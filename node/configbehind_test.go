package node

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// lines returns the log lines of an event.
func (b *logBuffer) lines(event string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.bytes.String()) {
		if strings.Contains(line, "name="+event+" ") {
			found = append(found, line)
		}
	}
	return found
}

// storeUnreadable stores a configuration that no node can read.
func (f *fleet) storeUnreadable() {
	_, err := f.store.Create(f.t.Context(), config.ObjectKind, config.ObjectName, []byte("version: 2\nprofiles: {"))
	f.c.Assert(err, qt.IsNil)
}

// withoutPlatform lets a node receive configurations from its peers only.
func withoutPlatform(s *Settings) { s.Store = nil }

// Operators store a version that the nodes which watch the platform refuse. The other
// nodes used to learn nothing of it, so their metrics and logs showed them as up to
// date. Each node must log once that it lacks the version.
func TestEveryNodeLogsAVersionThatItLacks(t *testing.T) {
	inFleet(t, func(f *fleet) {
		watching, _ := f.addLogged("watching", "desk", echo)
		hearing, log := f.addLogged("hearing", "desk", echo, withoutPlatform)
		f.settle()
		f.c.Check(hearing.configBehind(), qt.IsFalse)
		f.storeUnreadable()
		time.Sleep(20 * time.Second)
		for _, n := range []*Node{watching, hearing} {
			f.c.Check(n.ConfigVersion(), qt.Equals, uint64(1))
			n.updateGauges()
			f.c.Check(n.metrics.ConfigNewest.Value(), qt.Equals, int64(2))
		}
		f.c.Check(log.lines("config-behind"), qt.HasLen, 1)
		f.c.Check(has(log.lines("config-behind"), "version=1", "newest=2"), qt.IsTrue)
	})
}

// A request's route is looked up in one version, and the next version, which has the
// route, comes into force before the request is refused. Compared with the version
// then in force, the node would seem up to date and its answer final.
func TestVersionInForceSinceTheLookupIsLater(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.addRouted("vm", "desk", 10, echo)
		lookedUp := n.ConfigVersion()
		f.c.Check(n.refuseUnrouted(lookedUp).report.Reason, qt.Equals, call.ReasonNoRoute)
		next, err := config.Parse([]byte(strings.Replace(routedSet, "version: 1", "version: 2", 1)), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(n.OfferConfig(next), qt.IsNil)
		f.c.Check(n.refuseUnrouted(lookedUp).report.Reason, qt.Equals, call.ReasonConfigBehind)
	})
}

// Operators add a route. This node learns that a later version exists before it has
// that version, or can't read it at all. A caller on the new route that is told that
// there is no such route never retries. It must be told to retry, until the version in
// force is the newest known.
func TestMissingRouteIsNotFinalWhileBehind(t *testing.T) {
	inFleet(t, func(f *fleet) {
		watching := f.addRouted("watching", "desk", 10, echo)
		hearing := f.addRouted("hearing", "desk", 10, echo, withoutPlatform)
		nodes := []*Node{watching, hearing}
		f.settle()
		f.c.Check(f.askRouted(hearing, "/nowhere/x", "a").reason, qt.Equals, "no-route")
		f.storeUnreadable()
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			missing := f.askRouted(n, "/nowhere/x", "b")
			f.c.Check(missing.reason, qt.Equals, "config-behind")
			f.c.Check(missing.header.Get("X-After"), qt.Not(qt.Equals), "0")
			f.c.Check(f.askRouted(n, "/browse/x", "c").status, qt.Equals, 200)
			f.c.Check(n.metrics.Unrouted.With("config-behind").Count(), qt.Equals, int64(1))
		}
		next, err := config.Parse([]byte(strings.Replace(routedSet, "version: 1", "version: 2", 1)), config.YAML)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(watching.OfferConfig(next), qt.IsNil)
		f.settle()
		for _, n := range nodes {
			f.c.Check(f.askRouted(n, "/nowhere/x", "d").reason, qt.Equals, "no-route")
		}
	})
}
