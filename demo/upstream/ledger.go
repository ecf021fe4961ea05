package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the progress of an execution.
type State uint8

const (
	// Arrived: the upstream has received the request and done no work.
	Arrived State = iota
	// Refused: the upstream ended the request before any work.
	Refused
	// Running: work has begun.
	Running
	// Finished: all steps are complete.
	Finished
	// Abandoned: work had begun, but a step failed or the caller disconnected.
	Abandoned
)

// Ran reports whether any work was done.
func (s State) Ran() bool { return s >= Running }

// Execution is one arrival of a request at an upstream.
type Execution struct {
	ID uint64
	// Parent is the ID of the calling execution, or 0 for a client's call.
	Parent  uint64
	Try     int
	Service string
	Route   string
	Replica int
	Once    bool
	State   State
	// Worked is the service time spent.
	Worked time.Duration
	// Began is the time at which work began, or zero if it didn't.
	Began time.Time
}

const ledgerShards = 64

// Ledger records the executions of all upstreams by operation. It is sharded by
// operation, so that upstreams don't contend for a single lock.
type Ledger struct {
	lastID atomic.Uint64
	shards [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu         sync.Mutex
	operations map[string][]Execution
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	for i := range l.shards {
		l.shards[i].operations = map[string][]Execution{}
	}
	return l
}

func (l *Ledger) shard(operation string) *ledgerShard {
	return &l.shards[xxhash.Sum64String(operation)%ledgerShards]
}

// Entry updates the ledger's record of one execution.
type Entry struct {
	shard     *ledgerShard
	operation string
	index     int
	id        uint64
}

// Arrive adds e to the ledger with a new ID and the state Arrived, and returns
// its entry.
func (l *Ledger) Arrive(operation string, e Execution) *Entry {
	e.ID = l.lastID.Add(1)
	e.State = Arrived
	s := l.shard(operation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations[operation] = append(s.operations[operation], e)
	return &Entry{shard: s, operation: operation, index: len(s.operations[operation]) - 1, id: e.ID}
}

// Begin records that work began at now. It has no effect unless the state is
// Arrived.
func (r *Entry) Begin(now time.Time) {
	r.update(func(e *Execution) {
		if e.State == Arrived {
			e.State = Running
			e.Began = now
		}
	})
}

// AddWork adds d to the service time spent.
func (r *Entry) AddWork(d time.Duration) {
	r.update(func(e *Execution) { e.Worked += d })
}

// Finish records that all steps are complete.
func (r *Entry) Finish() {
	r.update(func(e *Execution) { e.State = Finished })
}

// GiveUp records that the execution ended without finishing: Refused if no work
// had begun, otherwise Abandoned. It returns the new state.
func (r *Entry) GiveUp() State {
	var state State
	r.update(func(e *Execution) {
		if e.State.Ran() {
			e.State = Abandoned
		} else {
			e.State = Refused
		}
		state = e.State
	})
	return state
}

func (r *Entry) update(change func(*Execution)) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	change(&r.shard.operations[r.operation][r.index])
}

// Executions returns a copy of the recorded executions of an operation.
func (l *Ledger) Executions(operation string) []Execution {
	s := l.shard(operation)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.operations[operation]...)
}

// Duplicates returns the number of executions of Once routes that did work,
// beyond the first of each route.
func Duplicates(executions []Execution) int {
	runs := map[Call]int{}
	extra := 0
	for _, e := range executions {
		if !e.Once || !e.State.Ran() {
			continue
		}
		call := Call{Service: e.Service, Route: e.Route}
		runs[call]++
		if runs[call] > 1 {
			extra++
		}
	}
	return extra
}

// RanBy reports whether any work was done for the given try, or for any try if
// try is 0.
func RanBy(executions []Execution, try int) bool {
	for _, e := range executions {
		if e.State.Ran() && (try == 0 || e.Try == try) {
			return true
		}
	}
	return false
}

// callSite identifies a call that an execution makes; the executions of the
// call's retries have the same call site.
type callSite struct {
	parent uint64
	call   Call
}

// Retries returns the number of retries inside the chain for one try of the
// client: the arrivals beyond the first at each call site, summed over the
// chain. A client's own tries are not counted as retries, because each is a
// separate request.
func Retries(executions []Execution, try int) int {
	arrivals := map[callSite]int{}
	extra := 0
	for _, e := range executions {
		if e.Try != try {
			continue
		}
		site := callSite{parent: e.Parent, call: Call{Service: e.Service, Route: e.Route}}
		arrivals[site]++
		if arrivals[site] > 1 {
			extra++
		}
	}
	return extra
}

// Worked returns the total service time spent on the tries that keep accepts.
func Worked(executions []Execution, keep func(try int) bool) time.Duration {
	var sum time.Duration
	for _, e := range executions {
		if keep(e.Try) {
			sum += e.Worked
		}
	}
	return sum
}
