package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"pollengauge.dev/config"
	"pollengauge.dev/standin"
)

// Actions on the platform and the configuration.

func (f *fuzz) platform(t *rapid.T) {
	f.disturb()
	f.Store.SetFaults(standin.Faults{
		Down:          rapid.Bool().Draw(t, "down"),
		DelayMillis:   rapid.SampledFrom([]int{0, 0, 50, 700}).Draw(t, "delay"),
		DropNext:      rapid.IntRange(0, 3).Draw(t, "drop"),
		LoseNext:      rapid.IntRange(0, 2).Draw(t, "lose"),
		DuplicateNext: rapid.IntRange(0, 2).Draw(t, "duplicate"),
		LateNext:      rapid.IntRange(0, 2).Draw(t, "late"),
		LateMillis:    rapid.SampledFrom([]int{10, 3000}).Draw(t, "late by"),
		Compact:       rapid.Bool().Draw(t, "compact"),
	})
}

// edit makes two operators change the configuration concurrently, both starting
// from the same version.
func (f *fuzz) edit(t *rapid.T) {
	set, err := config.Parse([]byte(profiles), config.YAML)
	if err != nil {
		t.Fatal(err)
	}
	document, err := config.Read(context.Background(), f.Store)
	if err != nil {
		t.Skip("platform down")
	}
	for range 2 {
		f.edits++
		mine := set
		mine.Profiles = slices.Clone(set.Profiles)
		mine.Profiles[0].MaxWait = config.Duration(time.Duration(100+f.edits) * time.Millisecond)
		opts := config.ApplyOptions{
			Author:        fmt.Sprint("operator ", f.edits),
			ExpectVersion: document.Set.Version,
			Rand:          rand.New(rand.NewPCG(uint64(f.edits), 1)),
		}
		f.callers.Go(func() { f.applyEdit(mine, opts) })
	}
}

// configUpdateTimeout bounds the time until an accepted configuration is in force
// on all nodes.
const configUpdateTimeout = 5 * time.Second

func (f *fuzz) applyEdit(set config.Set, opts config.ApplyOptions) {
	result, err := f.Apply(context.Background(), set, opts)
	if err != nil {
		return // the other operator's edit won, or the result of the write is unknown
	}
	accepted := time.Now()
	members := f.Hosts()
	time.Sleep(configUpdateTimeout)
	if f.calm.since(accepted.Add(-configUpdateTimeout)) {
		f.checkInForce(members, result.Version)
	}
}

func (f *fuzz) checkInForce(hosts []string, version uint64) {
	for _, host := range hosts {
		m := f.Member(host)
		if m == nil {
			continue
		}
		if got := m.Node.Status().ConfigVersion; got < version {
			f.Ledger.Report(&Violation{
				Promise: ConfigNeverReverts,
				Subject: host,
				Detail:  fmt.Sprintf("version %d in force %v after %d was accepted", got, configUpdateTimeout, version),
			})
		}
	}
}
