package headread

import (
	"time"

	"golang.org/x/sync/semaphore"
)

// Estimates of the memory that a head takes from its parsing to the end of its request, with the
// copies made to forward it.
const (
	memoryPerByte  = 4
	memoryPerField = 512
	// smallHead is the memory up to which a head needs no room in the budget. The limit of
	// connections bounds the sum of such heads.
	smallHead = 32 << 10
	// freeHeld is the part of an incomplete head that needs no room in the budget, in bytes.
	freeHeld = 4 << 10
)

// admitWait bounds the time for which a complete head waits for room in the budget.
const admitWait = 2 * time.Second

// Budget bounds the memory taken by large heads of requests on all connections that share it.
type Budget struct {
	parsed, held *semaphore.Weighted
	size         int64
}

// heldDivisor gives the part of a budget's size that is for heads which have not arrived
// completely.
const heldDivisor = 2

// NewBudget returns a budget for complete heads of size bytes in memory, and half as much for
// incomplete ones.
func NewBudget(size int64) *Budget {
	size = max(size, 2*smallHead)
	return &Budget{parsed: semaphore.NewWeighted(size), held: semaphore.NewWeighted(size / heldDivisor), size: size}
}

// cost returns how much room a head needs. A head that is larger than the whole budget can
// still be served, while no other one is.
func (b *Budget) cost(length, fields int) int64 {
	cost := int64(length)*memoryPerByte + int64(fields)*memoryPerField
	if cost <= smallHead {
		return 0
	}
	return min(cost, b.size)
}

// release returns the room of a complete head.
func (b *Budget) release(cost int64) { b.parsed.Release(cost) }
