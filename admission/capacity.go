package admission

import "time"

// The capacity in use is counted in a single word. A call takes capacity in one
// atomic step, and a visit that ends can't miss a call that has just been
// queued. With many processors the word is contended, so each shard keeps the
// capacity of a few finished visits in reserve for the next calls on the same
// processor. Reserved capacity still counts as used in the word, so the limits
// hold.

// The bit fields of Gate.word.
const (
	oneActive   = uint64(1)
	oneInFlight = uint64(1) << 32
	oneVisit    = oneActive + oneInFlight
	// queuedFlag is set while calls are queued. It makes every new call take
	// the lock, and every visit that ends dispatch queued calls.
	queuedFlag = uint64(1) << 63
	activeMask = oneInFlight - 1
)

const (
	// maxReserve is the number of visits whose capacity a shard may reserve.
	maxReserve = 2
	// minReserveLimit is the lowest limit at which capacity is reserved. Below
	// it, the reserves could hold most of the capacity.
	minReserveLimit = 2 * maxReserve * shardCount
)

func inFlight(word uint64) uint64 { return word &^ queuedFlag >> 32 }

// withinLimits reports whether the counts in word are within the limits.
func (g *Gate) withinLimits(word uint64) bool {
	return word&activeMask <= uint64(g.limit.Load()) && inFlight(word) <= uint64(g.slots.Load())
}

// takeCapacity takes capacity for one visit, if there is any and no call is queued.
//
// Without a reserve it adds first and reverts the addition if the sum exceeds
// the limits: under contention one addition costs far less than a
// compare-and-swap loop. A call is admitted only if the sum including its own
// visit is within the limits, so the limits always hold. Another call may see
// the sum before it is reverted and fail without need; a call that fails
// therefore checks again under the lock.
func (g *Gate) takeCapacity(shard *statShard) bool {
	word := g.word.Load()
	if word&queuedFlag == 0 && g.withinLimits(word) && shard.takeReserve() {
		return true
	}
	word = g.word.Add(oneVisit)
	if word&queuedFlag == 0 && g.withinLimits(word) {
		return true
	}
	g.word.Add(^oneVisit + 1)
	return false
}

// takeQueuedCapacity takes capacity for a queued visit, if there is any and the rate of
// dispatches allows it. The gate's lock is held.
func (g *Gate) takeQueuedCapacity(now time.Duration) bool {
	if g.rate.untilDue(now) > 0 {
		return false
	}
	for {
		word := g.word.Load()
		if !g.withinLimits(word + oneVisit) {
			return false
		}
		if g.word.CompareAndSwap(word, word+oneVisit) {
			g.rate.take()
			return true
		}
	}
}

// returnCapacity returns the capacity of a visit, to the shard's reserve if
// possible.
func (g *Gate) returnCapacity(shard *statShard) {
	if g.limit.Load() < minReserveLimit || !shard.addReserve() {
		g.lowerCounts(oneVisit)
		return
	}
	// A call that is queued sets queuedFlag and then reclaims all reserves. So
	// either that call finds the reserve added above, or the flag is visible
	// here.
	if g.word.Load()&queuedFlag == 0 {
		return
	}
	g.mu.Lock()
	g.reclaimReserves()
	g.dispatch(g.now())
	g.mu.Unlock()
}

// lowerCounts lowers the counts by n and dispatches queued calls.
func (g *Gate) lowerCounts(n uint64) {
	if g.word.Add(-n)&queuedFlag == 0 {
		return
	}
	g.mu.Lock()
	g.dispatch(g.now())
	g.mu.Unlock()
}

// reclaimReserves empties all reserves. The gate's lock is held.
func (g *Gate) reclaimReserves() {
	n := uint64(0)
	for i := range g.shards {
		n += uint64(g.shards[i].reserve.Swap(0))
	}
	g.word.Add(-(n * oneVisit))
}

// counts returns the number of active visits and of visits in flight, without
// the reserves.
func (g *Gate) counts() (active, inflight int) {
	reserved := 0
	for i := range g.shards {
		reserved += int(g.shards[i].reserve.Load())
	}
	word := g.word.Load()
	active = max(int(word&activeMask)-reserved, 0)
	inflight = max(int(inFlight(word))-reserved, 0)
	return active, inflight
}

// markBlocked stops counting a blocked visit as active.
func (g *Gate) markBlocked() {
	if g.config.DepthAware {
		g.lowerCounts(oneActive)
	}
}

// markUnblocked counts a visit as active again. The active count may exceed the
// limit: a visit that occupies a slot and has done work must not wait behind
// new calls.
func (g *Gate) markUnblocked() {
	if g.config.DepthAware {
		g.word.Add(oneActive)
	}
}

func (s *statShard) takeReserve() bool {
	n := s.reserve.Load()
	return n > 0 && s.reserve.CompareAndSwap(n, n-1)
}

func (s *statShard) addReserve() bool {
	n := s.reserve.Load()
	return n < maxReserve && s.reserve.CompareAndSwap(n, n+1)
}
