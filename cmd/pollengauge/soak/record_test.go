package soak

import (
	"sync"
	"time"
)

// sent is one request that a customer or an upstream made.
type sent struct {
	id   string
	vm   int
	at   time.Time
	path string
	// method and body are as the upstream must receive them. A long body is
	// recorded as its digest.
	method, body string
	unsafe       bool
	// tenant is the owner of the request's key. It is "" for calls of upstreams,
	// which carry no key, and where keyUnknown marks a key that belongs to no tenant.
	tenant, key string
	keyUnknown  bool
	// incomplete is true if a part of the body was never sent.
	incomplete bool
	// wait is how long a customer waits for the response. It is 0 where that is not
	// recorded.
	wait time.Duration
	// origin is the service of the VM from which the request was sent.
	origin string
}

// run is one request that reached an upstream.
type run struct {
	id       string
	at       time.Time
	vm       int
	service  string
	instance string
	// incarnation is the upstream's number of starts. The instance id may stay the same
	// across starts.
	incarnation int
	method      string
	path        string
	body        string
	origin      string
	// tenant is the tenant that the request's header named to the upstream; keyed
	// is true if the upstream received a key.
	tenant string
	keyed  bool
	// executed is false if the upstream refused the request.
	executed  bool
	status    int
	signature string
	answer    string
	// stated is what the upstream states in its response.
	stated stated
}

// answered is the response to a request, or the failure to get one.
type answered struct {
	id        string
	vm        int
	at        time.Time
	took      time.Duration
	status    int
	signature string
	// echo is the request id in the response's header.
	echo string
	body string
	// closes is true if the response announced that the connection closes.
	closes bool
	// complete is false if the body was incomplete or no response came.
	complete bool
	// failure is the error that ended an exchange without a complete response.
	failure string
	// sentAt is when the last byte of the request was sent, zero if not recorded.
	sentAt time.Time
}

// drainNotice is an acknowledged heartbeat by which an incarnation of an upstream announced
// that it is draining.
type drainNotice struct {
	instance    string
	incarnation int
	vm          int
	at          time.Time
}

// version is one configuration that the operator sent, acknowledged or not.
type version struct {
	number int
	sentAt time.Time
	// ackedAt is zero if no acknowledgement came.
	ackedAt time.Time
	// probe is the service that the probe route leads to.
	probe string
	// added is the number of routes that growths have added.
	added int
}

// probe is one response on the probe route. The service that sent it shows which
// versions of the configuration it may come from.
type probe struct {
	vm, incarnation int
	at              time.Time
	service         string
}

// disturbed is a span in which a VM, its links or its upstream had a fault. For
// faults of the store vm is everyVM.
type disturbed struct {
	vm       int
	from, to time.Time
	fault    fault
}

const everyVM = -1

// processExit is an unexpected exit of a process.
type processExit struct {
	vm    int
	at    time.Time
	state string
}

// restarted is an acknowledged heartbeat of an upstream that restarted under the same
// instance id.
type restarted struct {
	vm, incarnation int
	at              time.Time
}

// record holds everything that customers, upstreams and the operator observed. Access
// to its fields needs mu.
type record struct {
	mu           sync.Mutex
	sent         []sent
	runs         []run
	answers      []answered
	drainNotices []drainNotice
	versions     []version
	probes       []probe
	disturbed    []disturbed
	exits        []processExit
	batches      []batch
	usages       []usage
	entries      []entry
	restarts     []restarted
}

func add[T any](r *record, list *[]T, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, item)
}

func (a answered) success() bool { return a.complete && a.status >= 200 && a.status < 300 }
