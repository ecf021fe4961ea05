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

func options(expect uint64, id string) config.ApplyOptions {
	return config.ApplyOptions{
		ExpectVersion: expect,
		ChangeID:      id,
		Author:        "operator " + id,
		Now:           time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC),
		Rand:          rand.New(rand.NewPCG(1, 2)),
	}
}

// scripted is a platform that injects one planned fault per write. It records the
// Sets that took effect, as the oracle of the tests.
type scripted struct {
	*standin.Memory
	// before runs once, between the read and the write of an Apply.
	before func()
	plan   []fault
	late   []func()
	took   []config.Set
}

type fault string

const (
	fine  fault = "fine"
	down  fault = "down"  // rejected, no effect
	drop  fault = "drop"  // takes effect, response lost
	lose  fault = "lose"  // no effect, no response
	delay fault = "delay" // no response, takes effect later unless a conflict prevents it
)

func newScripted(plan ...fault) *scripted {
	return &scripted{Memory: standin.NewMemory(), plan: plan}
}

func (s *scripted) Create(ctx context.Context, kind, name string, value []byte) (objects.Object, error) {
	return s.write(objects.OpCreate, value, func() (objects.Object, error) { return s.Memory.Create(ctx, kind, name, value) })
}

func (s *scripted) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	return s.write(objects.OpUpdate, o.Value, func() (objects.Object, error) { return s.Memory.Update(ctx, o) })
}

func (s *scripted) write(op objects.Op, value []byte, run func() (objects.Object, error)) (objects.Object, error) {
	if before := s.before; before != nil {
		s.before = nil
		before()
	}
	recorded := func() (objects.Object, error) {
		o, err := run()
		if err == nil {
			document, _ := config.DecodeDocument(value)
			s.took = append(s.took, document.Set)
		}
		return o, err
	}
	next := fine
	if len(s.plan) > 0 {
		next, s.plan = s.plan[0], s.plan[1:]
	}
	lost := &objects.AmbiguousError{Op: op, Kind: config.ObjectKind, Name: config.ObjectName}
	switch next {
	case down:
		return objects.Object{}, &objects.UnavailableError{Op: op}
	case lose:
		return objects.Object{}, lost
	case delay:
		s.late = append(s.late, func() { _, _ = recorded() })
		return objects.Object{}, lost
	case drop:
		if _, err := recorded(); err == nil {
			return objects.Object{}, lost
		}
	}
	return recorded()
}

// times returns how often the change with the given id took effect.
func (s *scripted) times(id string) int {
	n := 0
	for _, set := range s.took {
		if set.ChangeID == id {
			n++
		}
	}
	return n
}

// inBubble runs test in a synctest bubble, where delays take no real time.
func inBubble(t *testing.T, test func(c *qt.C, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t), t.Context()) })
}

// The platform performs operator A's write but the response is lost. Before A
// retries, operator B applies a change based on A's version. A must learn that its
// change took effect and that another followed. If A applied it again, B's change
// would be overwritten unnoticed.
func TestLostAnswerThenAnotherOperator(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context) {
		s := newScripted(drop)
		s.before = func() {
			// Set the hook that runs before A's second attempt.
			s.before = func() {
				_, err := config.Apply(ctx, s, draft(2), options(1, "b"))
				c.Check(err, qt.IsNil)
			}
		}
		result, err := config.Apply(ctx, s, draft(1), options(0, "a"))
		c.Assert(err, qt.IsNil)
		c.Check(result.Settled, qt.IsTrue)
		c.Check(result.Version, qt.Equals, uint64(1))
		c.Check(result.Current.ChangeID, qt.Equals, "b")
		c.Check(s.times("a"), qt.Equals, 1)
	})
}

// Two operators change version 1 at the same time. The slower one must get an error
// with both Sets, and nothing of its change may become active.
func TestRaceShowsBothSides(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context) {
		s := newScripted()
		s.before = func() {
			_, err := config.Apply(ctx, s, draft(2), options(0, "fast"))
			c.Check(err, qt.IsNil)
		}
		_, err := config.Apply(ctx, s, draft(1), options(0, "slow"))
		var race *config.RaceError
		c.Assert(err, qt.ErrorAs, &race)
		c.Check(config.FormatDiff(config.Diff(race.Theirs, race.Mine)), qt.Equals, "~ profiles[default].deadline: 3s -> 2s\n")
		c.Check(race.Theirs.ChangeID, qt.Equals, "fast")
		c.Check(race.Forgotten, qt.IsFalse)
		c.Check(s.times("slow"), qt.Equals, 0)
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
		{[]fault{down, down, down, down, down}, config.FateNotApplied},
		{[]fault{drop, down, down, down, down}, config.FateUnknown},
		{[]fault{lose, down, down, down, down}, config.FateUnknown},
		{[]fault{delay, lose, delay, down, down}, config.FateUnknown},
	}
	for _, test := range cases {
		inBubble(t, func(c *qt.C, ctx context.Context) {
			s := newScripted(test.plan...)
			_, err := config.Apply(ctx, s, draft(1), options(0, "a"))
			var failed *config.ApplyError
			c.Assert(err, qt.ErrorAs, &failed)
			c.Check(failed.Fate, qt.Equals, test.fate)
			for _, land := range s.late {
				land()
			}
			result, err := config.Apply(ctx, s, draft(1), options(0, "a"))
			c.Assert(err, qt.IsNil)
			c.Check(result.Version, qt.Equals, uint64(1))
			c.Check(s.times("a"), qt.Equals, 1)
			_, err = config.Apply(ctx, s, draft(2), options(1, "a"))
			c.Check(err, qt.ErrorAs, new(*config.ChangeIDError))
		})
	}
}

// More changes follow than the object records. When an operator repeats a change of
// unknown fate, the error must not claim that it never took effect, because that is
// no longer known. The history must fit into one object.
func TestHistoryIsBounded(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context) {
		s := newScripted(drop)
		others := func() {
			for n := 1; n <= config.MaxChanges+1; n++ {
				_, err := config.Apply(ctx, s, draft(n), options(uint64(n), "c"+strconv.Itoa(n)))
				c.Assert(err, qt.IsNil)
			}
		}
		s.before = func() { s.before = others }
		_, err := config.Apply(ctx, s, draft(0), options(0, "old"))
		var failed *config.ApplyError
		c.Assert(err, qt.ErrorAs, &failed)
		c.Check(failed.Fate, qt.Equals, config.FateUnknown)
		_, err = config.Apply(ctx, s, draft(0), options(0, "old"))
		var race *config.RaceError
		c.Assert(err, qt.ErrorAs, &race)
		c.Check(race.Forgotten, qt.IsTrue)
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
	inBubble(t, func(c *qt.C, ctx context.Context) {
		s := newScripted()
		for n := range 3 {
			_, err := config.Apply(ctx, s, draft(n), options(uint64(n), strconv.Itoa(n)))
			c.Assert(err, qt.IsNil)
		}
		back := func() {
			result, err := config.Rollback(ctx, s, 1, options(3, "back"))
			c.Assert(err, qt.IsNil)
			c.Check(result.Version, qt.Equals, uint64(4))
			c.Check(s.times("back"), qt.Equals, 1)
		}
		back()
		c.Check(config.Diff(s.took[3], draft(0)), qt.HasLen, 0)
		back()
		_, err := config.Rollback(ctx, s, 9, options(4, "gone"))
		c.Check(err, qt.ErrorMatches, "version 9 is not kept; kept are 0 1 2 3 4")
		for n := range config.MaxHistory {
			_, err := config.Apply(ctx, s, draft(n), options(uint64(n+4), "more"+strconv.Itoa(n)))
			c.Assert(err, qt.IsNil)
		}
		back()

		opts := options(0, "anew")
		opts.Above = 4
		result, err := config.Apply(ctx, newScripted(), draft(5), opts)
		c.Assert(err, qt.IsNil)
		c.Check(result.Version, qt.Equals, uint64(5))
	})
}
