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
	// method and body are as the receiver must get them.
	method, body string
	unsafe       bool
	// tenant is whose key it brought, "" for a call and where stranger tells that
	// nobody has the key.
	tenant, key string
	stranger    bool
	// half is set where a part of the body was never sent.
	half bool
	// origin is the service on the VM where it was made.
	origin string
}

// run is one request that reached an upstream.
type run struct {
	id       string
	at       time.Time
	vm       int
	service  string
	instance string
	// life counts the starts of the upstream, which may keep its instance.
	life   int
	method string
	path   string
	body   string
	origin string
	// tenant is what the upstream was told; keyed tells that it got a key.
	tenant string
	keyed  bool
	// executed is false where the upstream turned it away.
	executed  bool
	status    int
	signature string
	answer    string
}

// answered is what came back for a request, or how its connection ended.
type answered struct {
	id        string
	vm        int
	at        time.Time
	took      time.Duration
	status    int
	signature string
	// echo is the id that the answer bears.
	echo string
	body string
	// closes tells that the answer announced the connection's end.
	closes bool
	// whole is false where the body broke off or no answer came.
	whole bool
}

// leave is the acknowledgement that an incarnation of an upstream leaves.
type leave struct {
	instance string
	life     int
	vm       int
	at       time.Time
}

// version is one configuration that the operator sent, acknowledged or not.
type version struct {
	number int
	sentAt time.Time
	// ackedAt is zero where no acknowledgement came.
	ackedAt time.Time
	// probe is the service that the probe route leads to.
	probe string
	// added is how many routes growths have added.
	added int
}

// probe is one answer on the probe route, whose service tells the version.
type probe struct {
	vm, incarnation int
	at              time.Time
	service         string
}

// disturbed is a time in which a VM, its links or its upstream had a fault, or
// the store, for which vm is everyVM.
type disturbed struct {
	vm       int
	from, to time.Time
	fault    fault
}

const everyVM = -1

// end is a process that ended without being told to.
type end struct {
	vm    int
	at    time.Time
	state string
}

// comeback is the first acknowledged heartbeat of an upstream that started again
// under its id.
type comeback struct {
	vm, life int
	at       time.Time
}

// record is all that was seen from outside. It is safe for concurrent use.
type record struct {
	mu        sync.Mutex
	sent      []sent
	runs      []run
	answers   []answered
	leaves    []leave
	versions  []version
	probes    []probe
	disturbed []disturbed
	ends      []end
	batches   []batch
	usages    []usage
	entries   []entry
	returns   []comeback
}

func add[T any](r *record, list *[]T, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, item)
}

// served counts a VM's requests since a time, and those that succeeded.
func (r *record) served(vm int, since time.Time) (all, good int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.answers) - 1; i >= 0 && r.answers[i].at.After(since); i-- {
		a := r.answers[i]
		if a.vm != vm {
			continue
		}
		all++
		if a.success() {
			good++
		}
	}
	return all, good
}

func (a answered) success() bool { return a.whole && a.status >= 200 && a.status < 300 }
