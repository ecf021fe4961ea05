package soak

import (
	"fmt"
	"strings"
)

// summary describes in a few lines what was played, so that a run which checked
// nothing can be recognized.
func (f *fleet) summary(faults int) string {
	r := f.record
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	addLine := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	addLine("%d faults, %d requests, %d served, %d arrivals, %d versions", faults, len(r.sent), r.countSuccesses(nil), len(r.runs), len(r.versions))
	wholeBatches, closed := 0, 0
	for _, b := range r.batches {
		if b.answered == len(b.ids) {
			wholeBatches++
		}
		if b.closes {
			closed++
		}
	}
	addLine("%d batches behind one another, %d answered whole, %d ended by an announced close", len(r.batches), wholeBatches, closed)
	uploads, halves, moved, added := make(map[string]bool), 0, 0, make(map[string]bool)
	seen := make(map[string]bool)
	for _, s := range r.sent {
		switch {
		case s.incomplete:
			halves++
		case strings.Contains(s.body, " bytes, "):
			uploads[s.id] = true
		case prefixOf(s.path) == pathAdded:
			added[s.id] = true
		case seen[s.id]:
			moved++
		}
		seen[s.id] = true
	}
	addLine("%d whole uploads, %d served; %d half-sent; %d requests sent again in the other zone", len(uploads), r.countSuccesses(uploads), halves, moved)
	var most int64
	for _, u := range r.usages {
		most = max(most, u.bytes)
	}
	addLine("%d requests on added routes, %d served; %d heartbeats after restarts under the id; %d entries of another writer; most memory %d MiB",
		len(added), r.countSuccesses(added), len(r.restarts), len(r.entries), most>>20)
	fatal := make(map[string]int)
	for _, x := range r.runs {
		if x.executed && isFatal(x.path) {
			fatal[x.path]++
		}
	}
	var ends []int
	for _, n := range fatal {
		ends = append(ends, n)
	}
	addLine("%d requests under which upstreams end, which ended %v", len(fatal), ends)
	return strings.Join(lines, "\n    ")
}

// countSuccesses returns the number of successful responses to the requests ids, or to all
// requests if ids is nil. The caller holds r.mu.
func (r *record) countSuccesses(ids map[string]bool) int {
	n := 0
	for _, a := range r.answers {
		if a.success() && (ids == nil || ids[a.id]) {
			n++
		}
	}
	return n
}
