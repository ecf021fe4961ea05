package config_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// draft returns a valid Set whose content depends on n.
func draft(n int) config.Set {
	set := config.Default()
	set.Profiles[0].Deadline = config.Duration(time.Duration(n+1) * time.Second)
	return set
}

func applyOptions(expect uint64, id string) config.ApplyOptions {
	return config.ApplyOptions{
		ExpectVersion: expect,
		ChangeID:      id,
		Author:        "operator " + id,
		Now:           time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC),
		Rand:          rand.New(rand.NewPCG(1, 2)),
	}
}

// faultyPlatform is a platform that injects one planned fault per write. It records the
// Sets that took effect, as the oracle of the tests.
type faultyPlatform struct {
	*standin.Memory
	// before runs once, between the read and the write of an Apply.
	before        func()
	plan          []fault
	delayedWrites []func()
	applied       []config.Set
}

type fault string

const (
	noFault      fault = "fine"
	rejectWrite  fault = "down"  // rejected, no effect
	loseResponse fault = "drop"  // takes effect, response lost
	loseRequest  fault = "lose"  // no effect, no response
	delayWrite   fault = "delay" // no response, takes effect later unless a conflict prevents it
)

func newFaultyPlatform(plan ...fault) *faultyPlatform {
	return &faultyPlatform{Memory: standin.NewMemory(), plan: plan}
}

func (s *faultyPlatform) Create(ctx context.Context, kind, name string, value []byte) (objects.Object, error) {
	return s.write(objects.OpCreate, value, func() (objects.Object, error) { return s.Memory.Create(ctx, kind, name, value) })
}

func (s *faultyPlatform) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	return s.write(objects.OpUpdate, o.Value, func() (objects.Object, error) { return s.Memory.Update(ctx, o) })
}

func (s *faultyPlatform) write(op objects.Op, value []byte, run func() (objects.Object, error)) (objects.Object, error) {
	if before := s.before; before != nil {
		s.before = nil
		before()
	}
	recorded := func() (objects.Object, error) {
		o, err := run()
		if err == nil {
			document, _ := config.DecodeDocument(value)
			s.applied = append(s.applied, document.Set)
		}
		return o, err
	}
	next := noFault
	if len(s.plan) > 0 {
		next, s.plan = s.plan[0], s.plan[1:]
	}
	lost := &objects.AmbiguousError{Op: op, Kind: config.ObjectKind, Name: config.ObjectName}
	switch next {
	case rejectWrite:
		return objects.Object{}, &objects.UnavailableError{Op: op}
	case loseRequest:
		return objects.Object{}, lost
	case delayWrite:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = recorded() })
		return objects.Object{}, lost
	case loseResponse:
		if _, err := recorded(); err == nil {
			return objects.Object{}, lost
		}
	}
	return recorded()
}

// appliedCount returns how often the change with the given id took effect.
func (s *faultyPlatform) appliedCount(id string) int {
	n := 0
	for _, set := range s.applied {
		if set.ChangeID == id {
			n++
		}
	}
	return n
}

// runInBubble runs test in a synctest bubble, where delays take no real time.
func runInBubble(t *testing.T, test func(c *qt.C, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t), t.Context()) })
}

// The platform performs operator A's write but the response is lost. Before A
// retries, operator B applies a change based on A's version. A must learn that its
// change took effect and that another followed. If A applied it again, B's change
// would be overwritten unnoticed.
func TestLostResponseThenAnotherOperator(t *testing.T) {
	runInBubble(t, func(c *qt.C, ctx context.Context) {
		s := newFaultyPlatform(loseResponse)
		s.before = func() {
			// Set the hook that runs before A's second attempt.
			s.before = func() {
				_, err := config.Apply(ctx, s, draft(2), applyOptions(1, "b"))
				c.Check(err, qt.IsNil)
			}
		}
		result, err := config.Apply(ctx, s, draft(1), applyOptions(0, "a"))
		c.Assert(err, qt.IsNil)
		c.Check(result.FoundInHistory, qt.IsTrue)
		c.Check(result.Version, qt.Equals, uint64(1))
		c.Check(result.Current.ChangeID, qt.Equals, "b")
		c.Check(s.appliedCount("a"), qt.Equals, 1)
	})
}

// Two operators change version 1 at the same time. The slower one must get an error
// with both Sets, and nothing of its change may become active.
func TestRaceErrorHasBothSets(t *testing.T) {
	runInBubble(t, func(c *qt.C, ctx context.Context) {
		s := newFaultyPlatform()
		s.before = func() {
			_, err := config.Apply(ctx, s, draft(2), applyOptions(0, "fast"))
			c.Check(err, qt.IsNil)
		}
		_, err := config.Apply(ctx, s, draft(1), applyOptions(0, "slow"))
		var race *config.RaceError
		c.Assert(err, qt.ErrorAs, &race)
		c.Check(config.FormatDiff(config.Diff(race.Theirs, race.Mine)), qt.Equals, "~ profiles[default].deadline: 3s -> 2s\n")
		c.Check(race.Theirs.ChangeID, qt.Equals, "fast")
		c.Check(race.RecordMayBeDropped, qt.IsFalse)
		c.Check(s.appliedCount("slow"), qt.Equals, 0)
	})
}

// The platform fails before or during a change. The error must state whether the
// change may have taken effect, and repeating it with the same change id must
// resolve the outcome, even if the first write takes effect only later.
func TestFateWhenThePlatformIsDown(t *testing.T) {
	cases := []struct {
		plan []fault
		fate config.Fate
	}{
		{[]fault{rejectWrite, rejectWrite, rejectWrite, rejectWrite, rejectWrite}, config.FateNotApplied},
		{[]fault{loseResponse, rejectWrite, rejectWrite, rejectWrite, rejectWrite}, config.FateUnknown},
		{[]fault{loseRequest, rejectWrite, rejectWrite, rejectWrite, rejectWrite}, config.FateUnknown},
		{[]fault{delayWrite, loseRequest, delayWrite, rejectWrite, rejectWrite}, config.FateUnknown},
	}
	for _, test := range cases {
		runInBubble(t, func(c *qt.C, ctx context.Context) {
			s := newFaultyPlatform(test.plan...)
			_, err := config.Apply(ctx, s, draft(1), applyOptions(0, "a"))
			var failed *config.ApplyError
			c.Assert(err, qt.ErrorAs, &failed)
			c.Check(failed.Fate, qt.Equals, test.fate)
			for _, deliver := range s.delayedWrites {
				deliver()
			}
			result, err := config.Apply(ctx, s, draft(1), applyOptions(0, "a"))
			c.Assert(err, qt.IsNil)
			c.Check(result.Version, qt.Equals, uint64(1))
			c.Check(s.appliedCount("a"), qt.Equals, 1)
			_, err = config.Apply(ctx, s, draft(2), applyOptions(1, "a"))
			c.Check(err, qt.ErrorAs, new(*config.ChangeIDError))
		})
	}
}

// More changes follow than the object records. When an operator repeats a change of
// unknown fate, the error must not claim that it never took effect, because that is
// no longer known. The history must fit into one object.
func TestHistoryIsBounded(t *testing.T) {
	runInBubble(t, func(c *qt.C, ctx context.Context) {
		s := newFaultyPlatform(loseResponse)
		others := func() {
			for n := 1; n <= config.MaxChanges+1; n++ {
				_, err := config.Apply(ctx, s, draft(n), applyOptions(uint64(n), "c"+strconv.Itoa(n)))
				c.Assert(err, qt.IsNil)
			}
		}
		s.before = func() { s.before = others }
		_, err := config.Apply(ctx, s, draft(0), applyOptions(0, "old"))
		var failed *config.ApplyError
		c.Assert(err, qt.ErrorAs, &failed)
		c.Check(failed.Fate, qt.Equals, config.FateUnknown)
		_, err = config.Apply(ctx, s, draft(0), applyOptions(0, "old"))
		var race *config.RaceError
		c.Assert(err, qt.ErrorAs, &race)
		c.Check(race.RecordMayBeDropped, qt.IsTrue)
		document, err := config.Read(ctx, s)
		c.Assert(err, qt.IsNil)
		c.Check(document.Changes, qt.HasLen, config.MaxChanges)
		c.Check(document.Earlier, qt.HasLen, config.MaxHistory)
	})
}

// Nodes accept only higher versions, so a rollback must store the old content as a
// new version, and a repeat after a lost response must not create another one.
// After the platform lost its data, a new Set must get a version above the one
// active on the nodes.
func TestRollbackAndAbove(t *testing.T) {
	runInBubble(t, func(c *qt.C, ctx context.Context) {
		s := newFaultyPlatform()
		for n := range 3 {
			_, err := config.Apply(ctx, s, draft(n), applyOptions(uint64(n), strconv.Itoa(n)))
			c.Assert(err, qt.IsNil)
		}
		rollBack := func() {
			result, err := config.Rollback(ctx, s, 1, applyOptions(3, "back"))
			c.Assert(err, qt.IsNil)
			c.Check(result.Version, qt.Equals, uint64(4))
			c.Check(s.appliedCount("back"), qt.Equals, 1)
		}
		rollBack()
		c.Check(config.Diff(s.applied[3], draft(0)), qt.HasLen, 0)
		rollBack()
		_, err := config.Rollback(ctx, s, 9, applyOptions(4, "gone"))
		c.Check(err, qt.ErrorMatches, "version 9 is not kept; kept are 0 1 2 3 4")
		for n := range config.MaxHistory {
			_, err := config.Apply(ctx, s, draft(n), applyOptions(uint64(n+4), "more"+strconv.Itoa(n)))
			c.Assert(err, qt.IsNil)
		}
		rollBack()

		opts := applyOptions(0, "anew")
		opts.HighestActiveVersion = 4
		result, err := config.Apply(ctx, newFaultyPlatform(), draft(5), opts)
		c.Assert(err, qt.IsNil)
		c.Check(result.Version, qt.Equals, uint64(5))
	})
}
