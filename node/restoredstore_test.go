package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
	"pollengauge.dev/quarantine"
	"pollengauge.dev/standin"
)

// operatedStore is a store to which an operator writes configurations.
type operatedStore struct {
	*fleet
	memory *standin.Memory
}

// write stores a version of routedSet, as a change of the stored one.
func (o operatedStore) write(version int) {
	ctx := o.t.Context()
	value := []byte(strings.Replace(routedSet, "version: 1", fmt.Sprintf("version: %d", version), 1))
	stored, err := o.memory.Get(ctx, configKind, config.ObjectName)
	if err != nil {
		_, err = o.memory.Create(ctx, configKind, config.ObjectName, value)
	} else {
		_, err = o.memory.Update(ctx, objects.Object{Kind: configKind, Name: config.ObjectName, Version: stored.Version, Value: value})
	}
	o.c.Assert(err, qt.IsNil)
}

// drill takes the store away for a while, restores it from a copy that is age old, and
// writes the operator's latest version again.
func (o operatedStore) drill(away, age time.Duration, latest int) {
	o.memory.SetFaults(standin.Faults{Down: true})
	time.Sleep(away)
	o.memory.Restore(age)
	o.memory.SetFaults(standin.Faults{})
	o.write(latest)
}

// configBound is how long after its acknowledgement a configuration must be in force.
const configBound = 2 * time.Second

// Guards against nodes that refuse the configurations which a restored store has, until its
// revisions exceed those from before the restore.
func TestConfigurationsAreInForceInTimeAfterARestoreOfTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		// before counts the versions that the restore takes back.
		before int
		// others counts the writes to other objects right after the restore.
		others int
	}{
		"revisions stay below those from before": {before: 8},
		"revisions are given out again at once":  {before: 3, others: 6},
		"nothing is lost":                        {},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				operator := operatedStore{fleet: f, memory: f.store.(*standin.Memory)}
				operator.write(2)
				for _, name := range []string{"a", "b", "c", "d"} {
					f.addRouted(name, "desk", 8, echo)
				}
				time.Sleep(10 * time.Second)
				version := 2
				for range test.before {
					version++
					operator.write(version)
					time.Sleep(100 * time.Millisecond)
				}
				operator.drill(2*time.Second, 3500*time.Millisecond, version)
				for i := range test.others {
					_, err := operator.memory.Create(t.Context(), "other", fmt.Sprint(i), nil)
					f.c.Assert(err, qt.IsNil)
				}
				time.Sleep(4 * time.Second)
				for range 3 {
					version++
					operator.write(version)
					time.Sleep(configBound)
					for name, n := range f.nodes {
						f.c.Check(n.config.Status().Version, qt.Equals, uint64(version), qt.Commentf("node %s", name))
					}
				}
			})
		})
	}
}

// Guards against addresses, the fleet's size and quarantine records that stay lost with a
// restore of the store.
func TestNodesStoreAgainWhatARestoredStoreHasLost(t *testing.T) {
	inFleet(t, func(f *fleet) {
		memory := f.store.(*standin.Memory)
		operator := operatedStore{fleet: f, memory: memory}
		operator.write(2)
		for _, name := range []string{"a", "b", "c"} {
			n := f.addRouted(name, "desk", 8, echo)
			n.quotas.mu.Lock()
			n.quotas.storedSize = 3
			n.quotas.mu.Unlock()
		}
		time.Sleep(5 * time.Second)
		fingerprint := quarantine.Fingerprint(7)
		for _, n := range f.nodes {
			n.mergeRecord(quarantine.Record{Fingerprint: fingerprint, Ends: quarantine.QuarantineThreshold, Stamp: 1})
		}
		addresses := len(f.storedAddrs())
		f.c.Assert(addresses > 0, qt.IsTrue)
		operator.drill(time.Second, time.Hour, 2)
		f.c.Assert(f.storedAddrs(), qt.HasLen, 0)
		time.Sleep(12 * time.Second)
		f.c.Check(len(f.storedAddrs()) >= addresses, qt.IsTrue, qt.Commentf("%d of %d addresses", len(f.storedAddrs()), addresses))
		records, _, err := memory.List(t.Context(), quarantineKind, "")
		f.c.Assert(err, qt.IsNil)
		f.c.Check(records, qt.HasLen, 1)
		for _, n := range f.nodes {
			n.quotas.mu.Lock()
			f.c.Check(n.quotas.storedSize, qt.Equals, 0)
			n.quotas.mu.Unlock()
		}
	})
}
