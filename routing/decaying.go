package routing

import "sync/atomic"

// decayingValue is a number that decays linearly to 0 over an interval, stored
// in one atomic word. A failure must lose its weight by time alone, because a
// target that gets no calls can't show that it has recovered.
type decayingValue struct {
	word atomic.Uint64
}

const (
	decayingBits = 17
	decayingMax  = 1<<decayingBits - 1
)

// store sets the value as of the time at, in milliseconds.
func (f *decayingValue) store(value, at int64) {
	value = min(max(value, 0), decayingMax)
	f.word.Store(uint64(max(at, 0))<<decayingBits | uint64(value))
}

// load returns the value at the time at, in milliseconds.
func (f *decayingValue) load(at, interval int64) int64 {
	word := f.word.Load()
	value := int64(word & decayingMax)
	if value == 0 {
		return 0
	}
	age := max(at-int64(word>>decayingBits), 0)
	if age >= interval {
		return 0
	}
	return value * (interval - age) / interval
}
