package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A VM has recovered if at least recoveredShare of the requests that were owed an answer
// in the last recoveryWindow succeeded, and there were at least leastRequests of them.
// Owed are all requests except those with a key of no tenant, and those of a limited
// tenant that were refused while the fleet served the tenant at least limitUse of its
// limit.
const (
	recoveredShare = 0.95
	recoveryWindow = 2 * time.Second
	leastRequests  = 20
	limitUse       = 0.8
)

// recovered reports whether a VM has recovered in a fleet of vms, judged by the answers
// since a time.
func (r *record) recovered(vm int, since time.Time, vms int) bool {
	all, good := r.owed(vm, since, vms)
	return all >= leastRequests && float64(good) >= recoveredShare*float64(all)
}

// owed counts the answers of a VM since a time that were owed to the customer, and those
// among them that were successes.
func (r *record) owed(vm int, since time.Time, vms int) (all, good int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := make(map[string]sent)
	for i := len(r.sent) - 1; i >= 0 && r.sent[i].at.After(since.Add(-customerDeadline)); i-- {
		requests[r.sent[i].id] = r.sent[i]
	}
	var answers []answered
	servedTo := make(map[string]int)
	for i := len(r.answers) - 1; i >= 0 && r.answers[i].at.After(since); i-- {
		a := r.answers[i]
		answers = append(answers, a)
		if a.success() {
			servedTo[requests[a.id].tenant]++
		}
	}
	atLimit := make(map[string]bool)
	for _, t := range tenantsOf(vms) {
		atLimit[t.name] = t.rate > 0 && float64(servedTo[t.name]) >= limitUse*t.rate*recoveryWindow.Seconds()
	}
	for _, a := range answers {
		s := requests[a.id]
		beyondLimit := a.status == http.StatusTooManyRequests && atLimit[s.tenant]
		if a.vm != vm || s.keyUnknown || beyondLimit {
			continue
		}
		all++
		if a.success() {
			good++
		}
	}
	return all, good
}

// Guards against a recovery that a fleet of any size can't show, because a tenant over its
// limit is rightly refused, and against one that is seen where a tenant is refused within
// its limit.
func TestRecoveryCountsTheRequestsThatAreOwed(t *testing.T) {
	c := qt.New(t)
	const vms = 60
	at := time.Unix(1000, 0)
	limit := int(pressRatePerVM * vms * recoveryWindow.Seconds())
	// filled returns a record in which VM 1 served 80 requests of the city and refused 12
	// of the press and 2 of nobody, and the other VMs served the press.
	filled := func(served int) *record {
		r := &record{}
		record := func(vm int, tenant string, status int) {
			id := fmt.Sprint(len(r.sent))
			r.sent = append(r.sent, sent{id: id, vm: vm, at: at, tenant: tenant, keyUnknown: tenant == ""})
			r.answers = append(r.answers, answered{id: id, vm: vm, at: at, status: status, complete: true})
		}
		for range 80 {
			record(1, "city", http.StatusOK)
		}
		for range 12 {
			record(1, "press", http.StatusTooManyRequests)
		}
		for range 2 {
			record(1, "", http.StatusUnauthorized)
		}
		for range served {
			record(2, "press", http.StatusOK)
		}
		return r
	}
	since := at.Add(-time.Second)
	c.Check(filled(limit).recovered(1, since, vms), qt.IsTrue)
	c.Check(filled(limit/2).recovered(1, since, vms), qt.IsFalse, qt.Commentf("the press is refused at half of its limit"))
	failing := filled(limit)
	for i := range 10 {
		failing.answers[i].status = http.StatusServiceUnavailable
	}
	c.Check(failing.recovered(1, since, vms), qt.IsFalse, qt.Commentf("one of eight requests of the city fails"))
	c.Check((&record{}).recovered(1, since, vms), qt.IsFalse)
}
