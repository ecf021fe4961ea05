//go:build !race

package node

const raceAllocations = 0
