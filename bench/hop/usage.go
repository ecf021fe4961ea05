package hop

import (
	"runtime"
	"time"

	"pollengauge.dev/observe"
)

// usage is what the process has used so far.
type usage struct {
	cpu    time.Duration
	allocs uint64
	bytes  uint64
}

func readUsage() usage {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	used := usage{allocs: memory.Mallocs, bytes: memory.TotalAlloc}
	if process, err := observe.ReadProcessUsage(); err == nil {
		used.cpu = process.CPU
	}
	return used
}

// Cost is what one call used, in the whole process.
type Cost struct {
	CPU    time.Duration `json:"cpu_ns"`
	Allocs float64       `json:"allocs"`
	Bytes  float64       `json:"bytes"`
}

func costOf(before, after usage, calls int) Cost {
	return Cost{
		CPU:    (after.cpu - before.cpu) / time.Duration(calls),
		Allocs: float64(after.allocs-before.allocs) / float64(calls),
		Bytes:  float64(after.bytes-before.bytes) / float64(calls),
	}
}

func (c Cost) minus(other Cost) Cost {
	return Cost{CPU: c.CPU - other.CPU, Allocs: c.Allocs - other.Allocs, Bytes: c.Bytes - other.Bytes}
}

// Machine tells under which conditions a figure was measured.
type Machine struct {
	// CPUs is how many processors the process may use at once.
	CPUs int `json:"cpus"`
	// LoadBefore and LoadAfter are the machine's load averages over a minute,
	// 0 where the system does not tell.
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
	// Late is how long after its intended time a direct call was begun: what
	// the machine made it wait for a processor before any of it ran.
	Late Quantiles `json:"late"`
}
