package config_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"pollengauge.dev/config"
)

// fleet is the system under test: one platform, operators, and nodes that receive
// Sets by watch and by gossip. A node may receive nothing for a while, or receive
// old messages late.
type fleet struct {
	ctx   context.Context
	store *faultyPlatform
	nodes []*config.Store
	// lastVersions holds the last version seen on the current incarnation of each node.
	lastVersions []uint64
	// sent holds every accepted encoding. Messages stay in it, so they can be
	// delivered repeatedly.
	sent [][]byte

	changes            int
	unknownFate        []attempt         // may have taken effect; to be retried
	reportedApplied    map[string]bool   // by change id
	reportedNotApplied map[string]bool   // by change id
	acceptedHashes     map[uint64]string // by version
	checked            int               // number of entries of store.applied that check has seen
}

type attempt struct {
	draft config.Set
	opts  config.ApplyOptions
}

const fleetSize = 3

func newFleet(ctx context.Context) *fleet {
	f := &fleet{ctx: ctx, store: newFaultyPlatform(), reportedApplied: map[string]bool{}, reportedNotApplied: map[string]bool{}, acceptedHashes: map[uint64]string{0: config.NewStore().Current().Hash()}}
	for range fleetSize {
		f.nodes = append(f.nodes, config.NewStore())
		f.lastVersions = append(f.lastVersions, 0)
	}
	return f
}

func drawPlan(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, rejectWrite, loseResponse, loseRequest, delayWrite}), 0, 3).Draw(t, "plan")
}

// operate applies a change based on the stored version or the one before it, while
// the platform injects faults and another operator may apply a change in between.
func (f *fleet) operate(t *rapid.T) {
	f.changes++
	stored := f.storedVersion()
	from := stored - min(stored, rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "behind"))
	opts := applyOptions(from, "c"+strconv.Itoa(f.changes))
	opts.Attempts = 2
	next := attempt{draft: draft(f.changes), opts: opts}
	if rapid.IntRange(0, 3).Draw(t, "rival") == 0 {
		f.changes++
		rival := attempt{draft: draft(f.changes), opts: applyOptions(from, "c"+strconv.Itoa(f.changes))}
		f.store.before = func() { f.apply(t, rival) }
	}
	f.store.plan = drawPlan(t)
	f.apply(t, next)
	f.store.plan = nil
	f.store.before = nil
}

// apply applies a change and checks the result against what took effect.
func (f *fleet) apply(t *rapid.T, a attempt) {
	result, err := config.Apply(f.ctx, f.store, a.draft, a.opts)
	f.checkResult(t, a, result, err)
}

func (f *fleet) checkResult(t *rapid.T, a attempt, result config.Result, err error) {
	id := a.opts.ChangeID
	var race *config.RaceError
	var failed *config.ApplyError
	switch {
	case err == nil:
		f.reportedApplied[id] = true
		if f.store.appliedCount(id) != 1 || f.store.appliedVersion(id) != result.Version {
			t.Fatalf("%s reported as version %d, took effect %d times", id, result.Version, f.store.appliedCount(id))
		}
	case errors.As(err, &race):
		f.reportedNotApplied[id] = true
	case errors.As(err, &failed) && failed.Fate == config.FateUnknown:
		f.unknownFate = append(f.unknownFate, a)
	case errors.As(err, &failed) && !f.hasUnknownFate(id):
		f.reportedNotApplied[id] = true
	case failed == nil:
		t.Fatalf("%s: %v", id, err)
	}
}

func (f *fleet) hasUnknownFate(id string) bool {
	for _, a := range f.unknownFate {
		if a.opts.ChangeID == id {
			return true
		}
	}
	return false
}

// retryUnknown retries a change of unknown fate under its change id.
func (f *fleet) retryUnknown(t *rapid.T) {
	if len(f.unknownFate) == 0 {
		t.Skip()
	}
	a := rapid.SampledFrom(f.unknownFate).Draw(t, "unsure")
	f.store.plan = drawPlan(t)
	f.apply(t, a)
	f.store.plan = nil
}

func (f *fleet) rollBack(t *rapid.T) {
	stored := f.storedVersion()
	if stored < 2 {
		t.Skip()
	}
	f.changes++
	opts := applyOptions(stored, "c"+strconv.Itoa(f.changes))
	to := rapid.Uint64Range(1, stored-1).Draw(t, "to")
	result, err := config.Rollback(f.ctx, f.store, to, opts)
	if err != nil {
		var gone *config.NoVersionError
		if !errors.As(err, &gone) || stored-to <= config.MaxHistory {
			t.Fatalf("rollback from %d to %d: %v", stored, to, err)
		}
		return
	}
	f.checkResult(t, attempt{opts: opts}, result, nil)
}

// deliverDelayedWrite delivers a delayed write whose sender has stopped waiting for the
// response.
func (f *fleet) deliverDelayedWrite(t *rapid.T) {
	if len(f.store.delayedWrites) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(f.store.delayedWrites)-1).Draw(t, "late")
	f.store.delayedWrites[i]()
}

func (f *fleet) watch(t *rapid.T) {
	object, err := f.store.Get(f.ctx, config.ObjectKind, config.ObjectName)
	if err != nil {
		t.Skip()
	}
	if _, err := f.drawNode(t).OfferObject(object); err != nil {
		t.Fatal(err)
	}
}

// deliver sends any earlier message, possibly repeated or late, to any node.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.sent) == 0 {
		t.Skip()
	}
	if _, err := f.drawNode(t).Offer(rapid.SampledFrom(f.sent).Draw(t, "message"), config.SourcePeer); err != nil {
		t.Fatal(err)
	}
}

// offerInvalid offers other content under the active version, and a truncated encoding.
func (f *fleet) offerInvalid(t *rapid.T) {
	node := f.drawNode(t)
	version, data := node.Encoded()
	if version == 0 {
		t.Skip()
	}
	var fork *config.ForkError
	other := strings.Replace(string(data), `"author":"`, `"author":"not `, 1)
	if accepted, err := node.Offer([]byte(other), config.SourcePeer); accepted || !errors.As(err, &fork) {
		t.Fatalf("Offer of a fork: accepted %v, error %v", accepted, err)
	}
	if accepted, err := node.Offer(data[:len(data)-1], config.SourcePeer); accepted || err == nil {
		t.Fatal("Offer accepted a truncated encoding")
	}
}

// restart replaces a node with a new one that has only what its peers respond.
func (f *fleet) restart(t *rapid.T) {
	i := rapid.IntRange(0, fleetSize-1).Draw(t, "node")
	f.nodes[i] = config.NewStore()
	f.lastVersions[i] = 0
	for j, peer := range f.nodes {
		if rapid.Bool().Draw(t, "answers") && j != i {
			_, data := peer.Encoded()
			if _, err := f.nodes[i].Offer(data, config.SourcePeer); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (f *fleet) drawNode(t *rapid.T) *config.Store {
	return f.nodes[rapid.IntRange(0, fleetSize-1).Draw(t, "node")]
}

// check is the oracle: versions take effect in increasing order, each change took
// effect exactly as reported to its operator, and no node returns to a lower
// version or runs content that never took effect.
func (f *fleet) check(t *rapid.T) {
	for ; f.checked < len(f.store.applied); f.checked++ {
		set := f.store.applied[f.checked]
		if f.checked > 0 && set.Version <= f.store.applied[f.checked-1].Version {
			t.Fatalf("version %d took effect after a higher or equal version", set.Version)
		}
		data, err := config.Encode(set)
		if err != nil {
			t.Fatal(err)
		}
		f.sent = append(f.sent, data)
		f.acceptedHashes[set.Version] = config.Hash(data)
	}
	for _, set := range f.store.applied {
		if f.reportedNotApplied[set.ChangeID] || f.store.appliedCount(set.ChangeID) != 1 {
			t.Fatalf("change %s took effect %d times, reported as not applied: %v", set.ChangeID, f.store.appliedCount(set.ChangeID), f.reportedNotApplied[set.ChangeID])
		}
	}
	for id := range f.reportedApplied {
		if f.store.appliedCount(id) != 1 {
			t.Fatalf("change %s reported as applied, took effect %d times", id, f.store.appliedCount(id))
		}
	}
	for i, node := range f.nodes {
		active := node.Current()
		if active.Version() < f.lastVersions[i] || active.Hash() != f.acceptedHashes[active.Version()] {
			t.Fatalf("node %d: active version %d after version %d, content hash %s", i, active.Version(), f.lastVersions[i], active.Hash())
		}
		f.lastVersions[i] = active.Version()
	}
}

func (f *fleet) storedVersion() uint64 {
	if len(f.store.applied) == 0 {
		return 0
	}
	return f.store.applied[len(f.store.applied)-1].Version
}

func (s *faultyPlatform) appliedVersion(id string) uint64 {
	for _, set := range s.applied {
		if set.ChangeID == id {
			return set.Version
		}
	}
	return 0
}

// noDeadline hides T.Deadline, which must not be called in a synctest bubble.
type noDeadline struct{ rapid.TB }

// Operators race, responses are lost, writes take effect late, messages are
// repeated and reordered, nodes restart without state, and malicious peers offer
// forks, in any order. Within one incarnation no node may return to a lower version
// or run content that never took effect, and no operator may get a wrong result.
func TestFleetVersionsNeverDecrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			f := newFleet(ctx)
			t.Repeat(map[string]func(*rapid.T){
				"operate": f.operate,
				"rush":    f.operate,
				"settle":  f.retryUnknown,
				"back":    f.rollBack,
				"land":    f.deliverDelayedWrite,
				"watch":   f.watch,
				"deliver": f.deliver,
				"forge":   f.offerInvalid,
				"restart": f.restart,
				"":        f.check,
			})
		})
	})
}
