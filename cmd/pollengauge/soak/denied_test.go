package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// routesAreServed checks that no valid request on a route gets a 3xx or 4xx status
// once the learning time since the store's acknowledgement of the route has passed,
// unless the VM was down or could not learn of the route.
func (j *judgement) routesAreServed() {
	denied := 0
	var first string
	for _, a := range j.answers {
		s := j.requests[a.id]
		acked := j.ackedAt(s.path)
		from := s.at.Add(-j.learning)
		if s.incomplete || s.keyUnknown || overLimit(s, a) || !denies(a.status) || acked.IsZero() || acked.After(from) || j.cutOff(s.vm, from, a.at) {
			continue
		}
		if denied++; denied == 1 {
			first = fmt.Sprintf("%s %s at VM %d got %d at %s, %s after the route's acknowledgement", s.method, s.path, s.vm, a.status, a.at.Format(time.StampMilli), s.at.Sub(acked))
		}
	}
	if denied > 0 {
		j.add("denied", "%d requests, the first: %s", denied, first)
	}
}

// overLimit reports whether a request was refused for exceeding its tenant's rate
// limit.
func overLimit(s sent, a answered) bool {
	return a.status == http.StatusTooManyRequests && slices.ContainsFunc(tenantsOf(1), func(t tenant) bool { return t.name == s.tenant && t.rate > 0 })
}

func denies(status int) bool { return status >= 300 && status < 500 }

// ackedAt returns when the store first acknowledged a version that contains the
// path's route, or the zero time if it never did.
func (j *judgement) ackedAt(path string) time.Time {
	route := -1 // in the configuration from the beginning
	if prefixOf(path) == pathAdded {
		number, _, _ := strings.Cut(strings.TrimPrefix(path, pathAdded), "/")
		route, _ = strconv.Atoi(number)
	}
	for _, v := range j.versions {
		if v.added > route && !v.ackedAt.IsZero() {
			return v.ackedAt
		}
	}
	return time.Time{}
}

// cutOff reports whether, during a span, a VM was down or had faults on both its
// link to the store and its links to other nodes, so that it had no source for new
// configurations.
func (j *judgement) cutOff(vm int, from, to time.Time) bool {
	var store, peers bool
	for _, d := range j.disturbed {
		if d.vm != vm && d.vm != everyVM || d.from.After(to) || d.to.Before(from) {
			continue
		}
		if slices.Contains([]fault{killNode, termNode, pauseNode, killAll, storeDown, storePaused, restoreStore}, d.fault) {
			return true
		}
		store = store || slices.Contains([]fault{cutStore, silenceLinks}, d.fault)
		peers = peers || slices.Contains([]fault{cutPeers, cutOneWay, silenceLinks}, d.fault)
	}
	return store && peers
}

// awaitAddedRoutes sends requests on the newest added route to every VM until the VM
// serves it. All VMs must learn the configuration eventually, however busy the
// machine is.
func (f *fleet) awaitAddedRoutes(ctx context.Context) []violation {
	added := int(f.operator.acknowledged.Load())
	if added == 0 {
		return nil
	}
	return f.eachVM(func(v *vm) error {
		last, err := f.askUntilServed(ctx, v, addedPrefix(added-1))
		if err != nil {
			return unmetError{"denied", v.number, fmt.Sprintf("last %d on the newest of %d added routes", last.status, added), err}
		}
		return nil
	})
}

func (f *fleet) askUntilServed(ctx context.Context, v *vm, prefix string) (last answered, err error) {
	client := directClient()
	err = await(ctx, func() bool {
		s := sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodGet, origin: v.upstream.service}
		s.path = prefix + s.id
		last = f.exchange(ctx, v, client, s, customerDeadline)
		return last.success()
	})
	return last, err
}
