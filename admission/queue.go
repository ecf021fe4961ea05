package admission

import (
	"context"
	"math/bits"
	"time"

	"pollengauge.dev/call"
)

// A class is the place of a waiting call in the order of dispatch: priority
// first, then calls whose request has more work done, then the tie-break.
type class uint16

const (
	// progressSteps is how many counts of work done are told apart; the last
	// one stands for all further ones.
	progressSteps = 4
	classes       = levels * progressSteps
	wordBits      = 64
	groupSize     = class(call.MaxTiebreak) + 1
	groups        = classes / int(groupSize)
)

func classOf(r Request) class {
	level := min(r.Level, call.MaxLevel)
	progress := class(min(max(r.Progress, 0), progressSteps-1))
	group := class(level.Priority())*progressSteps + progress
	return group*groupSize + class(level.Tiebreak())
}

// group is the class without its tie-break.
func (c class) group() int { return int(c / groupSize) }

// waiter is a call in the queue.
type waiter struct {
	ctx     context.Context
	class   class
	since   time.Duration
	expires time.Duration
	// expiry is the reason of the refusal when expires passes.
	expiry call.Reason
	queued bool
	// reason is set, and done signalled, by the one step that takes the
	// waiter out of the queue. ReasonNone means dispatched.
	reason call.Reason
	done   chan struct{}

	prev, next *waiter
}

// waitList is a list of one class, oldest first.
type waitList struct{ first, last *waiter }

// queue is bounded and ordered by class. Every operation takes constant time.
// Its owner locks.
type queue struct {
	limit int
	size  int
	lists [classes]waitList
	// occupied has a bit for each class with a waiter.
	occupied [classes / wordBits]uint64
	// inClass counts the waiters of each class, and inGroup those of each group,
	// for the estimate of the wait.
	inClass [classes]uint16
	inGroup [groups]int
}

// push adds w. If the queue is full, the least important waiter makes room,
// or push reports false when w itself is the least important.
func (q *queue) push(w *waiter) (evicted *waiter, ok bool) {
	if q.limit == 0 {
		return nil, false
	}
	if q.size >= q.limit {
		evicted = q.worst()
		if evicted.class >= w.class {
			return nil, false
		}
		q.remove(evicted)
	}
	q.add(w)
	return evicted, true
}

func (q *queue) add(w *waiter) {
	list := &q.lists[w.class]
	w.prev = list.last
	w.next = nil
	if list.last != nil {
		list.last.next = w
	} else {
		list.first = w
	}
	list.last = w
	w.queued = true
	q.occupied[w.class/wordBits] |= 1 << (w.class % wordBits)
	q.inGroup[w.class.group()]++
	q.inClass[w.class]++
	q.size++
}

func (q *queue) remove(w *waiter) {
	list := &q.lists[w.class]
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		list.first = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		list.last = w.prev
	}
	w.prev, w.next = nil, nil
	w.queued = false
	if list.first == nil {
		q.occupied[w.class/wordBits] &^= 1 << (w.class % wordBits)
	}
	q.inGroup[w.class.group()]--
	q.inClass[w.class]--
	q.size--
}

// best is the waiter to dispatch next, or nil.
func (q *queue) best(newestFirst bool) *waiter {
	for i := len(q.occupied) - 1; i >= 0; i-- {
		if q.occupied[i] == 0 {
			continue
		}
		list := &q.lists[i*wordBits+bits.Len64(q.occupied[i])-1]
		if newestFirst {
			return list.last
		}
		return list.first
	}
	return nil
}

// worst is the waiter to push out, or nil: of the lowest class the oldest,
// which has the least time left.
func (q *queue) worst() *waiter {
	for i, word := range q.occupied {
		if word != 0 {
			return q.lists[i*wordBits+bits.TrailingZeros64(word)].first
		}
	}
	return nil
}

// ahead counts the waiters that go before a newcomer of class c. Without
// withinGroup tie-breaks are left aside.
func (q *queue) ahead(c class, withinGroup bool) int {
	n := 0
	for i := c.group() + 1; i < groups; i++ {
		n += q.inGroup[i]
	}
	if !withinGroup {
		return n
	}
	for i := c; i.group() == c.group() && int(i) < classes; i++ {
		n += int(q.inClass[i])
	}
	return n
}

// oldest is when the longest-waiting call was queued.
func (q *queue) oldest() (time.Duration, bool) {
	var since time.Duration
	found := false
	for i, word := range q.occupied {
		for ; word != 0; word &= word - 1 {
			first := q.lists[i*wordBits+bits.TrailingZeros64(word)].first
			if !found || first.since < since {
				since, found = first.since, true
			}
		}
	}
	return since, found
}
