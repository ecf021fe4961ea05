//go:build race

package node

// raceAllocations are the allocations of a call that the race detector adds: sync.Pool
// then drops a part of what is put into it.
const raceAllocations = 25
