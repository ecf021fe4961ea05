package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
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
