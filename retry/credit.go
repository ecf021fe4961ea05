package retry

import (
	"sync/atomic"

	"pollengauge.dev/call"
)

// The state of a Credit is one 64-bit word, so that each change is one atomic
// operation: 16 bits for the credit left, 32 bits for the credit lent out, and
// one bit that is set when the Credit is closed.
const (
	lentShift = 16
	leftMask  = 1<<lentShift - 1
	lentMask  = 1<<32 - 1
	closedBit = 1 << 63
)

// Credit is the number of extra attempts that one visit (the handling of one
// call by one node) may still make or pass to its downstream calls.
//
// The sum over all visits of a request never grows: Take and Lend deduct the
// credit before they hand it out, Return adds no more than is lent out, and a
// closed Credit accepts nothing. Credit that is lost together with an answer
// counts as spent.
//
// All methods may be called concurrently. A Credit must not be copied after
// first use. The zero value has no credit.
type Credit struct {
	state atomic.Uint64
}

// NewCredit returns a Credit of n, clamped to 0..call.MaxCredit.
func NewCredit(n int) *Credit {
	c := new(Credit)
	c.Init(n)
	return c
}

// Init sets an unused Credit to n, clamped to 0..call.MaxCredit. It is for a
// Credit that is a field of its visit, which avoids an allocation.
func (c *Credit) Init(n int) {
	c.state.Store(uint64(min(max(n, 0), call.MaxCredit)))
}

// Take deducts up to n for the visit's own retries and returns the amount
// deducted.
func (c *Credit) Take(n int) int {
	if n <= 0 {
		return 0
	}
	for {
		old := c.state.Load()
		taken := min(uint64(n), old&leftMask)
		if taken == 0 || old&closedBit != 0 {
			return 0
		}
		if c.state.CompareAndSwap(old, old-taken) {
			return int(taken)
		}
	}
}

// putBack undoes a Take whose attempt was never made.
func (c *Credit) putBack(n int) {
	for {
		old := c.state.Load()
		if old&closedBit != 0 {
			return
		}
		if c.state.CompareAndSwap(old, old+uint64(n)) {
			return
		}
	}
}

// Lend deducts the part of the credit that is sent downstream with one call,
// and returns it: all credit but one, or the last one.
//
// A credit of one is passed on at any depth, so the hop next to a failure has
// it wherever that hop is. Visits near the root that had more keep one, either
// for a retry after a lost answer, whose loan counts as spent, or for a second
// call in parallel. docs/design/retry.md compares this rule with other ways to
// split the credit.
func (c *Credit) Lend() int {
	for {
		old := c.state.Load()
		left := old & leftMask
		if left == 0 || old&closedBit != 0 {
			return 0
		}
		lent := max(left-1, 1)
		if c.state.CompareAndSwap(old, old-lent+lent<<lentShift) {
			return int(lent)
		}
	}
}

// Return ends a loan and adds the credit that the answer gave back. It is
// called once for each loan whose answer arrived, and with left equal to lent
// when nothing was sent. It must not be called when the answer was lost: the
// downstream hop may have used the loan, so it counts as spent.
//
// left is clamped to 0..lent and to the total that is lent out, so that a
// faulty or hostile peer can't raise the credit.
func (c *Credit) Return(lent, left int) {
	if lent <= 0 {
		return
	}
	for {
		old := c.state.Load()
		if old&closedBit != 0 {
			return
		}
		lentOut := old >> lentShift & lentMask
		settled := min(uint64(lent), lentOut)
		back := min(uint64(max(left, 0)), settled)
		if c.state.CompareAndSwap(old, old-settled<<lentShift+back) {
			return
		}
	}
}

// Available returns the credit that could be taken now. It is for display and
// for Decide; only Take decides atomically.
func (c *Credit) Available() int {
	state := c.state.Load()
	if state&closedBit != 0 {
		return 0
	}
	return int(state & leftMask)
}

// Left closes the Credit and returns the unused credit to report to the calling
// hop.
//
// From then on the reported amount belongs to the calling hop. Without closing,
// a late answer from downstream or a forgotten goroutine could still spend it
// here, and the same credit would be used twice. A second Left returns 0 for
// the same reason.
func (c *Credit) Left() int {
	state := c.state.Swap(closedBit)
	if state&closedBit != 0 {
		return 0
	}
	return int(state & leftMask)
}
