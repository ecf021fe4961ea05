package observe

import (
	"cmp"
	"net/http"
	"slices"

	"pollengauge.dev/call"
)

// step is a hop with its place in the call chain.
type step struct {
	Hop
	indent int
	// orphan is set if the parent of the hop is missing from the given hops.
	orphan bool
}

// chain sorts the hops of one request into call order. It follows the parent
// spans and not the timestamps, because the clocks of VMs differ by more than the
// duration of a hop.
func chain(hops []Hop) []step {
	sorted := slices.Clone(hops)
	slices.SortStableFunc(sorted, func(a, b Hop) int {
		return cmp.Or(cmp.Compare(a.Depth, b.Depth), a.At.Compare(b.At), cmp.Compare(a.Attempt, b.Attempt))
	})
	c := chainBuilder{hops: sorted, children: make(map[SpanID][]int), placed: make([]bool, len(sorted))}
	return c.build()
}

type chainBuilder struct {
	hops     []Hop
	children map[SpanID][]int
	placed   []bool
	steps    []step
}

func (c *chainBuilder) build() []step {
	known := make(map[SpanID]bool, len(c.hops))
	for _, h := range c.hops {
		known[h.SpanID] = true
	}
	var tops []int
	for i, h := range c.hops {
		if known[h.ParentSpanID] && h.ParentSpanID != h.SpanID {
			c.children[h.ParentSpanID] = append(c.children[h.ParentSpanID], i)
			continue
		}
		tops = append(tops, i)
	}
	for _, i := range tops {
		c.place(i, 0)
	}
	// Hops whose parents form a cycle can't be reached from any top hop. Only a
	// faulty peer sends them, and they must still be shown.
	for i := range c.hops {
		c.place(i, 0)
	}
	return c.steps
}

func (c *chainBuilder) place(i, indent int) {
	if c.placed[i] {
		return
	}
	c.placed[i] = true
	h := c.hops[i]
	orphan := indent == 0 && h.Kind != Root
	c.steps = append(c.steps, step{Hop: h, indent: indent, orphan: orphan})
	for _, child := range c.children[h.SpanID] {
		c.place(child, indent+1)
	}
}

// decidingStep returns the index of the step that explains the request's outcome,
// or -1 if there is none: the last of the most downstream steps with the outcome
// and reason of the response. For a complete response it is the last of the most
// downstream steps whose outcome is not complete if the status is a server error,
// and otherwise the step with the longest wait.
func decidingStep(steps []step) int {
	if len(steps) == 0 {
		return -1
	}
	top := steps[0]
	if top.Outcome != call.Complete {
		return lastAtGreatestDepth(steps, func(s step) bool { return s.Outcome == top.Outcome && s.Reason == top.Reason })
	}
	if top.Status >= http.StatusInternalServerError {
		if i := lastAtGreatestDepth(steps, func(s step) bool { return s.Outcome != call.Complete }); i >= 0 {
			return i
		}
	}
	return longestWait(steps)
}

// lastAtGreatestDepth returns the index of the last matching step at the greatest
// depth, or -1.
func lastAtGreatestDepth(steps []step, match func(step) bool) int {
	found := -1
	for i, s := range steps {
		if match(s) && (found < 0 || s.Depth >= steps[found].Depth) {
			found = i
		}
	}
	return found
}

// longestWait returns the index of the delayed step with the longest wait, or -1.
func longestWait(steps []step) int {
	found := -1
	for i, s := range steps {
		if s.Decision != Delayed {
			continue
		}
		if found < 0 || s.Waited > steps[found].Waited {
			found = i
		}
	}
	return found
}

// firstStoredAnswer returns the index of the first step that returned a stored
// answer, or -1.
func firstStoredAnswer(steps []step) int {
	return slices.IndexFunc(steps, func(s step) bool { return s.Decision == Stale || s.Decision == Replayed })
}
