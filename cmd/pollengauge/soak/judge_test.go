package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// terms are the bounds set by the fleet's settings and routes.
type terms struct {
	// allowed maps each route prefix to the services that any version of the
	// configuration routes it to. attempts is how many upstreams one request may
	// be sent to.
	allowed  map[string][]string
	attempts int
	timeout  time.Duration
	// vms is the number of VMs of the fleet.
	vms int

	// grace is the platform's grace period.
	grace        time.Duration
	drain        time.Duration
	retryRatio   float64
	retrySlack   float64
	retryWindow  time.Duration
	maxLateShare float64
	// learning is how long a configuration version may take to reach a VM.
	learning time.Duration
	// timed enables the checks that depend on elapsed time. They need a machine
	// that is not busy with other work.
	timed bool
	// limits are the limits of each VM and its customers; zero values stand for the usual ones.
	limits vmLimits
	// planned is true where all faults are planned work, which must not end any request
	// without a response.
	planned bool
}

// vmLimits are the limits of a VM's process, and those that the operator sets for what its
// customers send. Sizes are in bytes.
type vmLimits struct{ memory, descriptors, headerBytes, bodyBytes int }

// usualDescriptors is the usual number of file descriptors of a process.
const usualDescriptors = 4100

// orUsual returns the limits with the usual ones in place of those that are not given.
func (l vmLimits) orUsual() vmLimits {
	l.memory = cmp.Or(l.memory, memoryLimit)
	l.descriptors = cmp.Or(l.descriptors, usualDescriptors)
	return l
}

// customers returns the limits of customers, as the operator writes them.
func (l vmLimits) customers() map[string]any {
	limits := map[string]any{"idle_timeout_s": 15}
	if l.headerBytes > 0 {
		limits["header_bytes"] = l.headerBytes
	}
	if l.bodyBytes > 0 {
		limits["body_bytes"] = l.bodyBytes
	}
	return limits
}

// violation is one broken promise.
type violation struct{ rule, detail string }

func (v violation) String() string { return v.rule + ": " + v.detail }

// judge returns the violations that the record shows.
func judge(r *record, t terms) []violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := newJudgement(r, t)
	j.runsWereRequested()
	j.keysSelectTheirTenant()
	j.unsafeRunsOnce()
	j.refusedRequestsDoNotRun()
	j.answersBelong()
	j.attemptsAreBounded()
	j.versionsDoNotGoBack()
	j.processesDoNotExit()
	j.answersComeInOrder()
	j.requestsBehindCloseDoNotRun()
	j.incompleteUploadsDoNotRun()
	j.memoryIsBounded()
	j.foreignEntriesStay()
	if t.planned {
		j.requestsEndWithAnAnswer()
	}
	if t.timed {
		j.drainingUpstreamsGetNothing()
		j.leavingUpstreamsGetNothing()
		j.statedLimitsHold()
		j.retriesAreBounded()
		j.limitsHold()
		j.answersComeInTime()
		j.routesAreServed()
		j.versionsAreInForceInTime()
		j.restartedUpstreamsWork()
		j.fatalRequestsAreQuarantined()
	}
	return j.found
}

// judgement is a record, its indexes and the violations found so far.
type judgement struct {
	*record
	terms
	requests map[string]sent
	runsOf   map[string][]run
	// sendings holds the times at which each request was sent: several if its
	// customer retried it under the same id.
	sendings map[string][]time.Time
	found    []violation
}

func newJudgement(r *record, t terms) *judgement {
	j := &judgement{record: r, terms: t, requests: make(map[string]sent), runsOf: make(map[string][]run), sendings: make(map[string][]time.Time)}
	for _, s := range r.sent {
		j.requests[s.id] = s
		j.sendings[s.id] = append(j.sendings[s.id], s.at)
	}
	for _, x := range r.runs {
		j.runsOf[x.id] = append(j.runsOf[x.id], x)
	}
	return j
}

func (j *judgement) add(rule, format string, args ...any) {
	j.found = append(j.found, violation{rule: rule, detail: fmt.Sprintf(format, args...)})
}

// runsWereRequested checks that upstreams receive only requests that were sent, unchanged,
// with the correct origin, and on a route that leads to their service.
func (j *judgement) runsWereRequested() {
	for _, x := range j.runs {
		s, ok := j.requests[x.id]
		switch {
		case !ok:
			j.add("asked", "%s received %s, which nobody sent", x.instance, x.id)
		case s.method != x.method || s.path != x.path || s.body != x.body:
			j.add("asked", "%s received %s %s with %d bytes for %s, which was sent as %s %s with %d", x.instance, x.method, x.path, len(x.body), x.id, s.method, s.path, len(s.body))
		case s.origin != x.origin:
			j.add("asked", "%s received %s with origin %q, want %q", x.instance, x.id, x.origin, s.origin)
		case x.executed && !slices.Contains(j.allowed[prefixOf(x.path)], x.service):
			j.add("route", "%s of service %s ran %s, which no route sends there", x.instance, x.service, x.path)
		}
	}
}

// unsafeRunsOnce checks that no unsafe request runs more than once.
func (j *judgement) unsafeRunsOnce() {
	for id, runs := range j.runsOf {
		if j.requests[id].unsafe && executed(runs) > 1 {
			j.add("once", "%s ran %d times", id, executed(runs))
		}
	}
}

// refusedRequestsDoNotRun checks that an unsafe request whose response says that it was not
// run had not run before, and does not run later unless the customer sends it again.
func (j *judgement) refusedRequestsDoNotRun() {
	for _, a := range j.answers {
		if promisesNotRun(a.status) && j.requests[a.id].unsafe && j.ranBeforeNext(a) {
			j.add("not-run", "%s got status %d, which says that it was not run, but it has run", a.id, a.status)
		}
	}
}

// answersBelong checks that a successful response is complete and comes from the
// upstream that ran this request, and that a failure with an upstream's signature
// has the status that the upstream sent.
func (j *judgement) answersBelong() {
	for _, a := range j.answers {
		if !a.complete || a.signature == "" && !a.success() {
			continue
		}
		of := slices.IndexFunc(j.runsOf[a.id], func(x run) bool { return x.signature == a.signature })
		switch {
		case a.signature == "":
			j.add("answer", "%s got status %d without an upstream's signature", a.id, a.status)
		case of < 0:
			j.add("answer", "%s got the response of another request", a.id)
		case j.runsOf[a.id][of].status != a.status:
			j.add("answer", "%s got status %d, its upstream sent %d", a.id, a.status, j.runsOf[a.id][of].status)
		case a.success() && j.runsOf[a.id][of].answer != a.body:
			j.add("answer", "%s got a body of %d bytes as complete, its upstream sent %d", a.id, len(a.body), len(j.runsOf[a.id][of].answer))
		}
	}
}

// mostOverAttempts is how many requests may run more often than their route's
// attempts allow.
const mostOverAttempts = 3

func (j *judgement) attemptsAreBounded() {
	over := 0
	for id, runs := range j.runsOf {
		if executed(runs) > j.attempts*len(j.sendings[id]) {
			over++
		}
	}
	if over > mostOverAttempts {
		j.add("attempts", "%d requests ran more than %d times", over, j.attempts)
	}
}

// versionsDoNotGoBack checks that the probe responses of one incarnation of a process
// match the configuration versions in the order in which they were sent, and no
// version before it was sent.
func (j *judgement) versionsDoNotGoBack() {
	type process struct{ vm, incarnation int }
	at := make(map[process]int)
	for _, p := range j.probes {
		l := process{p.vm, p.incarnation}
		next := at[l]
		for next < len(j.versions) && j.versions[next].probe != p.service {
			next++
		}
		if next == len(j.versions) || j.versions[next].sentAt.After(p.at) {
			j.add("version", "VM %d went back to an older configuration at %s", p.vm, p.at.Format(time.StampMilli))
			return
		}
		at[l] = next
	}
}

func (j *judgement) processesDoNotExit() {
	for _, e := range j.exits {
		j.add("process", "VM %d: process exited unexpectedly: %s", e.vm, e.state)
	}
}

// schedulingDelay is the delay that the scheduler of a shared machine may add to a bound.
const schedulingDelay = 500 * time.Millisecond

// drainingUpstreamsGetNothing checks that an upstream runs no request once the drain time has
// passed since its draining heartbeat or its leave call was acknowledged. That binds the
// processes of its VM that start later, too. A paused process may send late what it had
// admitted, and a platform that was restored knows of no departure.
func (j *judgement) drainingUpstreamsGetNothing() {
	type incarnation struct {
		instance string
		number   int
	}
	left := make(map[incarnation]drainNotice)
	for _, l := range j.drainNotices {
		if _, ok := left[incarnation{l.instance, l.incarnation}]; !ok {
			left[incarnation{l.instance, l.incarnation}] = l
		}
	}
	for _, x := range j.runs {
		l, ok := left[incarnation{x.instance, x.incarnation}]
		if ok && x.executed && x.at.After(l.at.Add(j.drain+schedulingDelay)) && !j.forgets(x.vm, l.at, x.at, pauseNode) && !j.forgets(everyVM, l.at, x.at, restoreStore) {
			j.add("drain", "%s got %s %s after its draining was acknowledged", x.instance, x.id, x.at.Sub(l.at))
		}
	}
}

// calm reports whether a VM had no fault during a span.
func (j *judgement) calm(vm int, from, to time.Time) bool {
	return !slices.ContainsFunc(j.disturbed, func(d disturbed) bool {
		return d.vm == vm && d.from.Before(to) && d.to.After(from)
	})
}

// leastLate is the minimum number of late responses that counts as a violation.
const leastLate = 8

// answersComeInTime checks that VMs without a fault respond within the route's
// timeout, but for a share of late responses.
func (j *judgement) answersComeInTime() {
	all, late := 0, 0
	for _, a := range j.answers {
		if a.status == 0 || !j.calm(a.vm, a.at.Add(-a.took-schedulingDelay), a.at) {
			continue
		}
		all++
		if a.took > j.timeout+schedulingDelay {
			late++
		}
	}
	if late >= leastLate && float64(late) > j.maxLateShare*float64(all) {
		j.add("timeout", "%d of %d responses came after the route's timeout", late, all)
	}
}

func executed(runs []run) int {
	n := 0
	for _, x := range runs {
		if x.executed {
			n++
		}
	}
	return n
}

// promisesNotRun reports whether a status says that the request was not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// rules returns the violated rules, sorted and without duplicates.
func rules(found []violation) []string {
	seen := make(map[string]bool)
	for _, v := range found {
		seen[v.rule] = true
	}
	return slices.Sorted(maps.Keys(seen))
}
