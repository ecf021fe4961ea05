// Package inflight tracks each request from the time at which it was read until its
// response has been written, or its connection was closed without one. It does no I/O.
package inflight

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Cause says why a connection was closed without a complete response to a request that
// had been read from it.
type Cause string

// The causes.
const (
	// CallerLeft: the caller closed the connection, or did not read it in time.
	CallerLeft Cause = "caller-left"
	// UpstreamBroke: the response of the upstream, or of another node, ended early.
	UpstreamBroke Cause = "upstream-broke"
	// Deadline: the response could not be read to its end before the deadline of the
	// request.
	Deadline Cause = "deadline"
	// Pipelined: the connection closed before the turn of a pipelined request.
	Pipelined Cause = "pipelined"
	// DrainTimeout: the time of the drain was over.
	DrainTimeout Cause = "drain-timeout"
	// Shutdown: the node was closed without a drain, or after it.
	Shutdown Cause = "shutdown"
	// Fault: a handler panicked.
	Fault Cause = "fault"
)

// shards is the number of parts of a Registry, each with a lock of its own.
const shards = 16

// Registry holds the requests that are being served.
type Registry struct {
	next  atomic.Uint64
	read  atomic.Int64
	ended atomic.Int64
	cut   atomic.Int64
	// interrupted is set by Interrupt.
	interrupted atomic.Bool
	shards      [shards]shard
}

type shard struct {
	mu   sync.Mutex
	open map[*Request]struct{}
}

// Counts are totals since the start. Read is the sum of the others.
type Counts struct {
	// Read is the number of requests that were read.
	Read int64
	// Answered is the number of requests whose response was written.
	Answered int64
	// Cut is the number of requests whose connection was closed without a complete
	// response.
	Cut int64
	// Open is the number of requests that are being served.
	Open int64
}

// Request is one request that is being served. A nil *Request may be used; its methods
// have no effect.
type Request struct {
	registry *Registry
	shard    *shard
	arrived  time.Time
	listener string
	ended    atomic.Bool

	mu sync.Mutex
	id string
	// interrupt ends the wait of the request, nil if it does not wait.
	interrupt func()
}

// Begin adds a request that was read from a listener at a time.
func (r *Registry) Begin(listener string, arrived time.Time) *Request {
	r.read.Add(1)
	q := &Request{registry: r, shard: &r.shards[r.next.Add(1)%shards], arrived: arrived, listener: listener}
	q.shard.mu.Lock()
	defer q.shard.mu.Unlock()
	if q.shard.open == nil {
		q.shard.open = make(map[*Request]struct{})
	}
	q.shard.open[q] = struct{}{}
	return q
}

// CutUnserved counts a request that was read and whose connection closed before the
// request was served.
func (r *Registry) CutUnserved() {
	r.read.Add(1)
	r.cut.Add(1)
}

// Counts returns the totals.
func (r *Registry) Counts() Counts {
	// Loaded in this order, no request is counted as ended before it was read.
	answered, cut := r.ended.Load(), r.cut.Load()
	read := r.read.Load()
	return Counts{Read: read, Answered: answered, Cut: cut, Open: read - answered - cut}
}

// Open returns the requests that are being served, the oldest first.
func (r *Registry) Open() []*Request {
	var open []*Request
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for q := range s.open {
			open = append(open, q)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(open, func(a, b *Request) int { return a.arrived.Compare(b.arrived) })
	return open
}

// SetID sets the id of the request, which is known once its header was parsed.
func (q *Request) SetID(id string) {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.id = id
	q.mu.Unlock()
}

// ID returns the id of the request, "" if none is known.
func (q *Request) ID() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.id
}

// Listener returns the name of the listener that the request was read from.
func (q *Request) Listener() string { return q.listener }

// Age returns the time since the request was read.
func (q *Request) Age(now time.Time) time.Duration { return now.Sub(q.arrived) }

// OnInterrupt sets the function that ends the present wait of the request, nil if it no
// longer waits. The function is called at most once, by Interrupt of the registry or,
// if that was called before, at once. It must not block or call the Request, and it is not
// called after OnInterrupt has returned for the next one.
func (q *Request) OnInterrupt(end func()) {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.interrupt = end
	q.mu.Unlock()
	if q.registry.interrupted.Load() {
		q.endWait()
	}
}

// endWait ends the present wait of the request.
func (q *Request) endWait() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.interrupt != nil {
		q.interrupt()
		q.interrupt = nil
	}
}

// Interrupt ends the waits of all requests, and from then on each wait that begins.
// A request whose response is being written is not interrupted.
func (r *Registry) Interrupt() {
	r.interrupted.Store(true)
	for _, q := range r.Open() {
		q.endWait()
	}
}

// Interrupted reports whether Interrupt was called.
func (r *Registry) Interrupted() bool { return r.interrupted.Load() }

// Answered records that the response was written. It has no effect on a request that
// has ended.
func (q *Request) Answered() {
	if q.end() {
		q.registry.ended.Add(1)
	}
}

// Cut records that the connection was closed without a complete response. It reports
// whether the request had not ended before.
func (q *Request) Cut() bool {
	if !q.end() {
		return false
	}
	q.registry.cut.Add(1)
	return true
}

func (q *Request) end() bool {
	if q == nil || !q.ended.CompareAndSwap(false, true) {
		return false
	}
	q.shard.mu.Lock()
	defer q.shard.mu.Unlock()
	delete(q.shard.open, q)
	return true
}
