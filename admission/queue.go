package admission

import (
	"context"
	"math/bits"
	"time"

	"pollengauge.dev/call"
)

// class is the rank of a queued call in the order of dispatch: by priority,
// then by the progress of its request (more first), then by tie-break.
type class uint16

const (
	// progressSteps is the number of distinguished values of Request.Progress.
	// The last one stands for all higher values.
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

// group returns the class without its tie-break.
func (c class) group() int { return int(c / groupSize) }

// waiter is a queued call.
type waiter struct {
	ctx      context.Context
	class    class
	queuedAt time.Duration
	expires  time.Duration
	// latestStart is when the call must start for its work to end before its deadline.
	latestStart time.Duration
	// expiryReason is the reason for the refusal if the waiter is still queued at
	// expires.
	expiryReason call.Reason
	queued       bool
	// refused is set, and done is signalled, in the one step that removes the
	// waiter from the queue. ReasonNone means dispatched.
	refused queueRefusal
	done    chan struct{}

	prev, next *waiter
}

// waitList is the list of waiters of one class, by their latest start and then by their
// arrival.
type waitList struct{ first, last *waiter }

// queue is a bounded queue ordered by class. The time of every operation is
// bounded by the limit. Adding a waiter takes constant time if it has the latest start
// of its class, as most have. The caller must hold the gate's lock.
type queue struct {
	limit int
	size  int
	lists [classes]waitList
	// occupied has a bit for each class, set if the class has waiters.
	occupied [classes / wordBits]uint64
	// classSizes counts the waiters of each class and groupSizes those of each
	// group, to estimate the wait of a new call.
	classSizes [classes]uint16
	groupSizes [groups]int
}

// push adds w. If the queue is full, push evicts and returns the least
// important waiter, or reports false if w is no more important than that
// waiter.
func (q *queue) push(w *waiter) (evicted *waiter, ok bool) {
	if q.limit == 0 {
		return nil, false
	}
	if q.size >= q.limit {
		evicted = q.leastImportant()
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
	w.prev, w.next = list.last, nil
	for w.prev != nil && w.prev.latestStart > w.latestStart {
		w.prev, w.next = w.prev.prev, w.prev
	}
	if w.prev != nil {
		w.prev.next = w
	} else {
		list.first = w
	}
	if w.next != nil {
		w.next.prev = w
	} else {
		list.last = w
	}
	w.queued = true
	q.occupied[w.class/wordBits] |= 1 << (w.class % wordBits)
	q.groupSizes[w.class.group()]++
	q.classSizes[w.class]++
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
	q.groupSizes[w.class.group()]--
	q.classSizes[w.class]--
	q.size--
}

// mostImportant returns the waiter to dispatch next, or nil if the queue is empty. It is
// the one of the highest class with the earliest latest start, or with the latest one.
func (q *queue) mostImportant(latestFirst bool) *waiter {
	for i := len(q.occupied) - 1; i >= 0; i-- {
		if q.occupied[i] == 0 {
			continue
		}
		list := &q.lists[i*wordBits+bits.Len64(q.occupied[i])-1]
		if latestFirst {
			return list.last
		}
		return list.first
	}
	return nil
}

// leastImportant returns the waiter to evict, or nil if the queue is empty. It
// is the waiter of the lowest class that has the least time left until its latest start.
func (q *queue) leastImportant() *waiter {
	for i, word := range q.occupied {
		if word != 0 {
			return q.lists[i*wordBits+bits.TrailingZeros64(word)].first
		}
	}
	return nil
}

// countAhead returns the number of waiters that are dispatched before a new call of
// class c. With withinGroup it also counts the waiters of the same group by
// their tie-breaks; otherwise it counts only those of higher groups.
func (q *queue) countAhead(c class, withinGroup bool) int {
	n := 0
	for i := c.group() + 1; i < groups; i++ {
		n += q.groupSizes[i]
	}
	if !withinGroup {
		return n
	}
	for i := c; i.group() == c.group() && int(i) < classes; i++ {
		n += int(q.classSizes[i])
	}
	return n
}

// oldest returns when the longest-waiting call was queued. It reports false if
// the queue is empty.
func (q *queue) oldest() (time.Duration, bool) {
	var since time.Duration
	found := false
	for i, word := range q.occupied {
		for ; word != 0; word &= word - 1 {
			for w := q.lists[i*wordBits+bits.TrailingZeros64(word)].first; w != nil; w = w.next {
				if !found || w.queuedAt < since {
					since, found = w.queuedAt, true
				}
			}
		}
	}
	return since, found
}
