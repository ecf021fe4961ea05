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

// firstOverspentSpan describes the first time span that breaks the bound, or
// returns "" if none does. The retries of all nodes in a span may be at most
// ratio times the first attempts made in the span and during carry (and a
// tenth) before it, plus one for each incarnation of a node.
func firstOverspentSpan(events []event, ratio float64, carry time.Duration, incarnations int) string {
	for i, begin := range events {
		retries, firsts := 0, 0
		for j, e := range events {
			switch {
			case e.retry && j >= i:
				retries++
			case !e.retry && e.at.After(begin.at.Add(-carry*(carrySlices+1)/carrySlices)):
				firsts++
			}
			if float64(retries) > ratio*float64(firsts)+float64(incarnations)+1e-6 {
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
		newNode := func() *Bucket { return NewBucket(BucketConfig{Ratio: ratio, Start: start}) }
		for i := range nodes {
			nodes[i] = newNode()
		}
		incarnations := len(nodes)
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
				nodes[i] = newNode()
				incarnations++
			}
		}
		if over := firstOverspentSpan(events, ratio, DefaultCarry, incarnations); over != "" {
			t.Fatal(over)
		}
	})
}

// boundMutant is a Limiter with one safeguard left out.
type boundMutant struct {
	name string
	make func() Limiter
}

// neverExpiring never expires what it earned; neverDeducting doesn't deduct the
// retries that it allows; startingUnearned starts with retries that no first
// attempt has earned.
type (
	neverExpiring    struct{ Bucket }
	neverDeducting   struct{ *Bucket }
	startingUnearned struct{ *Bucket }
)

func (h *neverExpiring) OnFirst(now time.Time) { h.tokens += h.config.Ratio }

func (h *neverExpiring) Allow(time.Time) bool {
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

func (s neverDeducting) Allow(now time.Time) bool { return s.Left(now) > 0 }

// Plays every sequence of seven steps for two nodes. Each step is some first
// calls or some requested retries at one node, the passing of half a carry, or
// a restart of a node. With all safeguards in place no sequence may break the
// bound; with any one left out, some sequence must.
func TestEverySequenceOfASmallFleetKeepsTheBound(t *testing.T) {
	c := qt.New(t)
	const ratio = 0.5
	config := BucketConfig{Ratio: ratio, Start: start}
	correct := func() Limiter { return NewBucket(config) }
	c.Check(firstOverspentSequence(correct), qt.Equals, "")
	for _, mutant := range []boundMutant{
		{"nothing expires", func() Limiter { return &neverExpiring{Bucket: Bucket{config: config}} }},
		{"allowed retries are not deducted", func() Limiter { return neverDeducting{NewBucket(config)} }},
		{"a new bucket starts with unearned retries", func() Limiter {
			b := NewBucket(config)
			b.tokens = 3
			b.recentFirsts[0] = sliceCount{epoch: 0, count: 6}
			return startingUnearned{b}
		}},
	} {
		c.Check(firstOverspentSequence(mutant.make), qt.Not(qt.Equals), "", qt.Commentf("%s", mutant.name))
	}
}

// firstOverspentSequence plays all sequences and describes the first span that
// breaks the bound.
func firstOverspentSequence(newBound func() Limiter) string {
	const (
		steps = 7
		kinds = 6
	)
	total := 1
	for range steps {
		total *= kinds
	}
	for sequence := range total {
		if over := playSequence(sequence, steps, kinds, newBound); over != "" {
			return over
		}
	}
	return ""
}

func playSequence(sequence, steps, kinds int, newBound func() Limiter) string {
	const calls = 4
	nodes := [2]Limiter{newBound(), newBound()}
	incarnations := len(nodes)
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
			nodes[0] = newBound()
			incarnations++
		}
	}
	return firstOverspentSpan(events, 0.5, DefaultCarry, incarnations)
}

// A node that makes a call every few seconds must have one retry available. A
// busy node must have all retries that it earns, and lose them soon after its
// calls stop.
func TestBucketsAllowEarnedRetries(t *testing.T) {
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
