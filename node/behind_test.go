package node

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// lines returns the lines of an event.
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

// withoutPlatform has a node hear of configurations from its peers only.
func withoutPlatform(s *Settings) { s.Store = nil }

// Operators store a version that the nodes which watch the platform refuse. The
// other nodes have heard nothing of it: by their metrics and logs they are up to
// date. Each node must tell of the version that it lacks, once.
func TestEveryNodeTellsOfAVersionThatItLacks(t *testing.T) {
	inFleet(t, func(f *fleet) {
		watching, _ := f.addLogged("watching", "desk", echo)
		hearing, log := f.addLogged("hearing", "desk", echo, withoutPlatform)
		f.settle()
		f.c.Check(hearing.config.Behind(), qt.IsFalse)
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
