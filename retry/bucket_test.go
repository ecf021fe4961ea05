package retry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// event is one first attempt, or one allowed retry, of any node of a fleet.
type event struct {
	at    time.Time
	retry bool
}

// overspent describes the first time span that breaks the bound, or returns ""
// if none does. The retries of all nodes in a span may be at most ratio times
// the first attempts made in the span and during carry (and a tenth) before it,
// plus one for each incarnation of a node.
func overspent(events []event, ratio float64, carry time.Duration, lives int) string {
	for i, begin := range events {
		retries, firsts := 0, 0
		for j, e := range events {
			switch {
			case e.retry && j >= i:
				retries++
			case !e.retry && e.at.After(begin.at.Add(-carry*(carrySlices+1)/carrySlices)):
				firsts++
			}
			if float64(retries) > ratio*float64(firsts)+float64(lives)+1e-6 {
				return fmt.Sprintf("%d retries for %d first attempts from %v to %v", retries, firsts, begin.at.Sub(start), e.at.Sub(start))
			}
		}
	}
	return ""
}

// The fleet's retries must not exceed their share in any time span, however the
// load is split over nodes, while nodes restart with empty buckets, traffic
// starts and stops, and all calls fail. Otherwise a service that begins to fail
// would receive at once all retries that were saved while it was healthy.
func TestBucketsBoundEachSpanOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		nodes := make([]*Bucket, rapid.IntRange(1, 5).Draw(t, "nodes"))
		fresh := func() *Bucket { return NewBucket(BucketConfig{Ratio: ratio, Start: start}) }
		for i := range nodes {
			nodes[i] = fresh()
		}
		lives := len(nodes)
		now := start
		var events []event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				for range rapid.IntRange(1, 30).Draw(t, "firsts") {
					nodes[i].OnFirst(now)
					events = append(events, event{at: now})
				}
			case 1:
				for range rapid.IntRange(1, 30).Draw(t, "asked") {
					if nodes[i].Allow(now) {
						events = append(events, event{at: now, retry: true})
					}
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			default:
				nodes[i] = fresh()
				lives++
			}
		}
		if over := overspent(events, ratio, DefaultCarry, lives); over != "" {
			t.Fatal(over)
		}
	})
}

// boundMutant is a Bound with one safeguard left out.
type boundMutant struct {
	name string
	make func() Bound
}

// hoarder never expires what it earned; spender doesn't deduct the retries that
// it allows; inventor starts with retries that no first attempt has earned.
type (
	hoarder  struct{ Bucket }
	spender  struct{ *Bucket }
	inventor struct{ *Bucket }
)

func (h *hoarder) OnFirst(now time.Time) { h.tokens += h.config.Ratio }

func (h *hoarder) Allow(time.Time) bool {
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

func (s spender) Allow(now time.Time) bool { return s.Left(now) > 0 }

// Plays every sequence of seven steps for two nodes. Each step is some first
// calls or some requested retries at one node, the passing of half a carry, or
// a restart of a node. With all safeguards in place no sequence may break the
// bound; with any one left out, some sequence must.
func TestEverySequenceOfASmallFleetKeepsTheBound(t *testing.T) {
	c := qt.New(t)
	const ratio = 0.5
	config := BucketConfig{Ratio: ratio, Start: start}
	whole := func() Bound { return NewBucket(config) }
	c.Check(worstSequence(whole), qt.Equals, "")
	for _, mutant := range []boundMutant{
		{"nothing expires", func() Bound { return &hoarder{Bucket: Bucket{config: config}} }},
		{"allowed retries are not deducted", func() Bound { return spender{NewBucket(config)} }},
		{"a new bucket starts with unearned retries", func() Bound {
			b := NewBucket(config)
			b.tokens = 3
			b.recent[0] = sliceCount{epoch: 0, count: 6}
			return inventor{b}
		}},
	} {
		c.Check(worstSequence(mutant.make), qt.Not(qt.Equals), "", qt.Commentf("%s", mutant.name))
	}
}

// worstSequence plays all sequences and describes the first span that breaks
// the bound.
func worstSequence(fresh func() Bound) string {
	const (
		steps = 7
		kinds = 6
	)
	total := 1
	for range steps {
		total *= kinds
	}
	for sequence := range total {
		if over := playSequence(sequence, steps, kinds, fresh); over != "" {
			return over
		}
	}
	return ""
}

func playSequence(sequence, steps, kinds int, fresh func() Bound) string {
	const calls = 4
	nodes := [2]Bound{fresh(), fresh()}
	lives := len(nodes)
	now := start
	var events []event
	for range steps {
		step := sequence % kinds
		sequence /= kinds
		switch step {
		case 0, 1:
			for range calls {
				nodes[step].OnFirst(now)
				events = append(events, event{at: now})
			}
		case 2, 3:
			for range calls {
				if nodes[step-2].Allow(now) {
					events = append(events, event{at: now, retry: true})
				}
			}
		case 4:
			now = now.Add(DefaultCarry / 2)
		default:
			nodes[0] = fresh()
			lives++
		}
	}
	return overspent(events, 0.5, DefaultCarry, lives)
}

// A node that makes a call every few seconds must have one retry available. A
// busy node must have all retries that it earns, and lose them soon after its
// calls stop.
func TestBucketsGiveWhatIsEarned(t *testing.T) {
	c := qt.New(t)
	quiet := NewBucket(BucketConfig{Ratio: 0.2, Start: start})
	for i := range 5 {
		quiet.OnFirst(start.Add(time.Duration(i) * 3 * time.Second))
	}
	later := start.Add(time.Minute)
	c.Check(quiet.Left(later), qt.Equals, 1)
	c.Check(quiet.Allow(later), qt.IsTrue)
	c.Check(quiet.Allow(later), qt.IsFalse)

	busy := NewBucket(BucketConfig{Ratio: 0.2, Start: start})
	now := start
	for range 1000 {
		busy.OnFirst(now)
	}
	c.Check(busy.Left(now.Add(DefaultCarry/2)), qt.Equals, 200)
	c.Check(busy.Left(now.Add(2*DefaultCarry)), qt.Equals, 1)

	none := NewBucket(BucketConfig{Ratio: 0, Start: start})
	for range 1000 {
		none.OnFirst(now)
	}
	c.Check(none.Allow(now), qt.IsFalse)
}

// Validate must report settings that are out of range.
func TestBucketConfigIsChecked(t *testing.T) {
	c := qt.New(t)
	c.Check(BucketConfig{Ratio: 0.2}.Validate(), qt.IsNil)
	for _, wrong := range []BucketConfig{{Ratio: -1}, {Ratio: 2}, {Carry: time.Microsecond}} {
		c.Check(wrong.Validate(), qt.ErrorAs, new(*ConfigError))
	}
}
