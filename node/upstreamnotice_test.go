package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

// Guards against a limit that ends too soon, never, or with what another node has heard.
func TestLimitStateFollowsTheResponses(t *testing.T) {
	type step struct {
		after  time.Duration
		limit  float64
		named  bool
		heard  bool // the limit comes from another node
		change bool
		want   float64
	}
	for name, steps := range map[string][]step{
		"ends after several responses without it": {
			{limit: 5, named: true, change: true, want: 5}, {after: limitEndTime, want: 5}, {want: 5}, {change: true},
		},
		"does not end while responses name it": {
			{limit: 5, named: true, change: true, want: 5}, {after: limitEndTime, want: 5}, {want: 5}, {limit: 5, named: true, want: 5}, {after: limitEndTime, want: 5}, {want: 5},
		},
		"does not end within a moment": {
			{limit: 5, named: true, change: true, want: 5}, {want: 5}, {want: 5}, {want: 5}, {want: 5},
		},
		"changes": {{limit: 5, named: true, change: true, want: 5}, {limit: 4, named: true, change: true, want: 4}},
		"is adopted before the first response": {
			{limit: 5, heard: true, change: true, want: 5}, {limit: 6, named: true, change: true, want: 6}, {limit: 5, heard: true, want: 6},
		},
		"is not adopted after a response without it": {{}, {limit: 5, heard: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s limitState
			now := time.Unix(1000, 0)
			for i, one := range steps {
				now = now.Add(one.after)
				var changed bool
				if one.heard {
					changed = s.adopt(one.limit, now)
				} else {
					changed = s.observe(one.limit, one.named, now)
				}
				c.Check(changed, qt.Equals, one.change, qt.Commentf("step %d", i))
				c.Check(s.limit, qt.Equals, one.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// Guards against a refusal that clears what the upstream stated, and against notices that
// are remembered for ever.
func TestHeardNoticesEndWithTheUpstreamsOwnResponses(t *testing.T) {
	c := qt.New(t)
	h := newHeardNotices()
	now := time.Unix(1000, 0)
	limited := call.UpstreamNotice{Instance: "i-1", Limit: 5, Limited: true}
	h.record("one", call.UpstreamNotice{}, call.Report{Outcome: call.Complete, Upstream: limited}, now)
	c.Check(h.forCall("one", now), qt.Equals, limited)
	c.Check(h.forCall("two", now), qt.Equals, call.UpstreamNotice{})
	h.record("one", limited, call.Report{Outcome: call.NotRun}, now)
	h.record("one", limited, call.Report{Outcome: call.Unknown}, now)
	c.Check(h.forCall("one", now), qt.Equals, limited)
	h.record("one", limited, call.Report{Outcome: call.Complete}, now)
	c.Check(h.forCall("one", now), qt.Equals, call.UpstreamNotice{})
	h.record("one", limited, call.Report{Outcome: call.Complete, Upstream: limited}, now)
	c.Check(h.forCall("one", now.Add(heardNoticeTTL+1)), qt.Equals, call.UpstreamNotice{})
	c.Check(h.known.Load(), qt.Equals, int64(0))
}

// Guards against a departure, or a limit in force, that is lost with a limit that can't be
// read.
func TestMalformedLimitChangesNothingElse(t *testing.T) {
	c := qt.New(t)
	var s noticeState
	now := time.Unix(1000, 0)
	s.record("i-1", UpstreamAnswer{Notice: call.UpstreamNotice{Limit: 5, Limited: true}}, now)
	for range 2 * limitEndResponses {
		now = now.Add(time.Second)
		limitChanged, leaves := s.record("i-1", UpstreamAnswer{MalformedNotice: true}, now)
		c.Check([]bool{limitChanged, leaves}, qt.DeepEquals, []bool{false, false})
	}
	_, leaves := s.record("i-1", UpstreamAnswer{Notice: call.UpstreamNotice{Leaving: true}, MalformedNotice: true}, now)
	c.Check(leaves, qt.IsTrue)
	c.Check(s.notice(), qt.Equals, call.UpstreamNotice{Instance: "i-1", Limit: 5, Limited: true, Leaving: true})
}
