package proof

import (
	"strconv"
	"sync"
	"time"

	"pollengauge.dev/call"
)

// Arrival is one call that an upstream received.
type Arrival struct {
	Operation, Presentation, Step string
	Host                          string
	At                            time.Time
	// Ran reports whether the upstream executed its own work for the call.
	Ran bool
}

// Presentation is one request for an operation that its caller sends.
type Presentation struct {
	ID        string
	Operation string
	// Host is the host of the node that receives the request.
	Host string
	// Key is the idempotency key of the request, the one that the node minted if
	// the caller sent none, or "" if there is none.
	Key string
	// Sent and Done are the times when the caller sent the request and when it
	// had the answer. Done is zero while the request is in flight.
	Sent, Done time.Time
	// Left reports whether the caller disconnected before it had an answer.
	Left  bool
	Reply Reply
}

// Reply is an answer as its caller receives it.
type Reply struct {
	Status  int
	Outcome string
	Reason  string
	Hop     string
	Key     string
	Body    string
	Trailer string
	// Err is the reason why the caller has no complete answer.
	Err error
}

// Complete reports whether the answer arrived in full and its outcome is
// complete.
func (r Reply) Complete() bool { return r.Err == nil && r.Outcome == call.Complete.String() }

// NotRun reports whether the answer's outcome is not-run.
func (r Reply) NotRun() bool { return r.Err == nil && r.Outcome == call.NotRun.String() }

// Ledger records the operations that callers requested, the calls that upstreams
// received and executed, and the answers that callers received. Check compares
// them with the promises.
type Ledger struct {
	mu            sync.Mutex
	next          int
	operations    map[string]*Operation
	presentations []*Presentation
	arrivals      []Arrival
	draining      map[string]time.Time
	versions      map[string]uint64
	reported      []*Violation
}

func newLedger() *Ledger {
	return &Ledger{
		operations: make(map[string]*Operation),
		draining:   make(map[string]time.Time),
		versions:   make(map[string]uint64),
	}
}

// Add assigns an id to an operation and records it.
func (l *Ledger) Add(o Operation) *Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	o.ID = "op" + strconv.Itoa(l.next)
	l.operations[o.ID] = &o
	return &o
}

func (l *Ledger) operation(id string) *Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.operations[id]
}

// recordSent assigns an id to a presentation that is about to be sent and records it.
func (l *Ledger) recordSent(p Presentation) *Presentation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	p.ID = "call" + strconv.Itoa(l.next)
	p.Sent = time.Now()
	l.presentations = append(l.presentations, &p)
	return &p
}

// recordReply records the answer of a presentation, and whether its caller left.
func (l *Ledger) recordReply(p *Presentation, r Reply, left bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.Reply = r
	p.Left = left
	if p.Key == "" {
		p.Key = r.Key // the node minted one
	}
	p.Done = time.Now()
}

// recordArrival records a call at an upstream and returns its index in the ledger.
func (l *Ledger) recordArrival(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.At = time.Now()
	l.arrivals = append(l.arrivals, a)
	return len(l.arrivals) - 1
}

// recordRun records that the upstream executes its own work for the call with this
// index.
func (l *Ledger) recordRun(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[number].Ran = true
}

// Report adds a violation that was detected outside the ledger.
func (l *Ledger) Report(v *Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported = append(l.reported, v)
}

// SetDraining records that the upstream of a host must receive no new calls from
// now on, or that it may receive them again.
func (l *Ledger) SetDraining(host string, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if draining {
		l.draining[host] = time.Now()
		return
	}
	delete(l.draining, host)
}

// Version records the configuration version that a node has in force. During a
// node's lifetime the version must not decrease; a decrease is a violation.
func (l *Ledger) Version(id string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.versions[id] {
		l.reported = append(l.reported, &Violation{
			Promise: ConfigNeverReverts,
			Subject: id,
			Detail:  "version " + strconv.FormatUint(version, 10) + " after " + strconv.FormatUint(l.versions[id], 10),
		})
	}
	l.versions[id] = max(version, l.versions[id])
}

// Presentations returns copies of all presentations recorded so far.
func (l *Ledger) Presentations() []Presentation {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Presentation, len(l.presentations))
	for i, p := range l.presentations {
		all[i] = *p
	}
	return all
}

// Runs returns how often upstreams executed a step of an operation.
func (l *Ledger) Runs(operation, step string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, a := range l.arrivals {
		if a.Operation == operation && a.Step == step && a.Ran {
			count++
		}
	}
	return count
}

// Arrivals returns the number of calls that the upstream of a host received since
// a time.
func (l *Ledger) Arrivals(host string, since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, a := range l.arrivals {
		if a.Host == host && !a.At.Before(since) {
			count++
		}
	}
	return count
}
