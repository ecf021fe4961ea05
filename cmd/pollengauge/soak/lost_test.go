package soak

import (
	"os"
	"strings"
	"time"
)

// lostAfter is how long after its last byte a request counts as read.
const lostAfter = 200 * time.Millisecond

// requestsEndWithAnAnswer checks that a request of a customer that waits ends with a complete
// answer, if an upstream received it or the connection was open for lostAfter since its
// last byte was sent.
func (j *judgement) requestsEndWithAnAnswer() {
	for _, a := range j.answers {
		s := j.requests[a.id]
		if s.wait == 0 || s.incomplete || a.complete || a.failure == "" {
			continue
		}
		open := a.at.Sub(a.sentAt)
		switch {
		case a.took >= s.wait:
		case len(j.runsOf[a.id]) > 0:
			j.add("lost", "VM %d: %s %s at %s was run by %s and ended after %s (%s after its last byte): %s",
				a.vm, s.method, s.path, s.at.Format(time.StampMilli), j.runsOf[a.id][0].instance, a.took, open, a.failure)
		case !a.sentAt.IsZero() && open > lostAfter:
			j.add("lost", "VM %d: %s %s at %s reached no upstream and ended %s after its last byte: %s",
				a.vm, s.method, s.path, s.at.Format(time.StampMilli), open, a.failure)
		}
	}
}

// cutRequests returns a violation for each request that a node logged as cut, and for each
// exit of a process that does not account for all of its requests.
func (f *fleet) cutRequests() []violation {
	var found []violation
	for _, v := range f.vms {
		data, err := os.ReadFile(v.log)
		if err != nil {
			found = append(found, violation{"log", err.Error()})
		}
		for line := range strings.Lines(string(data)) {
			unaccounted := strings.Contains(line, "event=1022 ") && !strings.Contains(line, " open=0 ")
			if unaccounted || strings.Contains(line, "event=4030 ") {
				found = append(found, violation{"lost", v.ip + ": " + line})
			}
		}
	}
	return found
}
