package soak

import (
	"context"
	"net/http"
	"strings"
	"time"
)

// Parameters of the fatal request, which crashes each upstream that runs it.
const (
	// fatalPart in a path makes the upstream that runs the request crash.
	fatalPart  = "fatal-"
	fatalEvery = 300 * time.Millisecond
	// fatalFor is how long the request is repeated. It is longer than the first
	// quarantine of a suspect request.
	fatalFor = 13 * time.Second
	// crashedFor is how long a crashed upstream stays down.
	crashedFor = time.Second
	// noticeTime is how long the VMs may take to learn of the third crash.
	noticeTime = 3 * time.Second
	// mostAfterThird is how many times the request may run once noticeTime has
	// passed.
	mostAfterThird = 3
)

// sendFatal sends the same fatal request repeatedly, to the VMs of one service in
// turn.
func (f *fleet) sendFatal(ctx context.Context, first *vm) {
	client := directClient()
	path := pathBrowse + fatalPart + newID()
	service := first.upstream.service
	for until := time.Now().Add(fatalFor); time.Now().Before(until) && ctx.Err() == nil; {
		for _, v := range f.vms {
			if v.upstream.service != service {
				continue
			}
			s := sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodGet, path: path, origin: service}
			f.exchange(ctx, v, client, s, customerDeadline)
			pause(ctx, fatalEvery)
		}
	}
}

// crashTemporarily crashes the upstream and starts it again after crashedFor.
func (u *upstream) crashTemporarily() {
	u.crash()
	time.AfterFunc(crashedFor, func() {
		// The error is ignored: the fleet may be closed by now and the address in
		// use by another one.
		_ = u.start()
	})
}

func isFatal(path string) bool { return strings.Contains(path, fatalPart) }

// fatalRequestsAreQuarantined checks that a request which has crashed three upstreams is
// quarantined: at most mostAfterThird further runs are allowed, counting only runs
// more than noticeTime after the third crash, at and from VMs without recent faults.
func (j *judgement) fatalRequestsAreQuarantined() {
	runs := make(map[string][]run)
	for _, x := range j.runs {
		if x.executed && isFatal(x.path) {
			runs[x.path] = append(runs[x.path], x)
		}
	}
	for path, under := range runs {
		if len(under) < 3 {
			continue
		}
		late := 0
		for _, x := range under[3:] {
			from := x.at.Add(-noticeTime)
			if from.After(under[2].at) && j.calm(x.vm, from, x.at) && j.calm(j.requests[x.id].vm, from, x.at) && j.calm(everyVM, from, x.at) {
				late++
			}
		}
		if late > mostAfterThird {
			j.add("held", "%s ran %d more times after it had crashed three upstreams", path, late)
		}
	}
}
