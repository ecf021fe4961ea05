package quarantine

import "time"

// Running is a request that an upstream was running as it ended.
type Running struct {
	Fingerprint Fingerprint
	// Known is how many upstreams had ended under the request before, as whoever
	// sent it here knew.
	Known int
	// Completed tells that the same request has completed at this incarnation of the
	// upstream before.
	Completed bool
	// Label describes the request for operators.
	Label string
}

// Blamed is what an end says of one request.
type Blamed struct {
	Record
	Label string
}

// Blame is what the end of an upstream says of the requests that it was running.
type Blame struct {
	// Held are those that are held back from now on, or longer than before.
	Held []Blamed
	// Suspects are those under which an upstream has ended for the first time.
	Suspects []Fingerprint
}

// Blame counts the end of an upstream against the requests that it was running.
//
// The load that it answers: one request ends each upstream that runs it, and beside it
// run tens of others, which are sent on to the same next upstream. Only those that were
// there at the most ends before are counted one more. Those with fewer have an
// explanation beside them, and become suspects at most: an innocent request that comes
// to run beside the cause is not held for it.
//
// A count rises by one from what was known as the run began, so that upstreams which
// end at the same moment, as when a zone fails, count once for the requests that were
// running at all of them. Where a zone fails upstream by upstream, its requests are sent
// on to the next one just before that ends; one that has completed there before is not
// counted again within endsTogether.
func (l *Ledger) Blame(runs []Running, now time.Time) Blame {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, run := range runs {
		most = max(most, l.priorEnds(run, now))
	}
	var blame Blame
	seen := make(map[Fingerprint]bool, len(runs))
	for _, run := range runs {
		if seen[run.Fingerprint] {
			continue
		}
		seen[run.Fingerprint] = true
		l.endTrial(run.Fingerprint)
		l.blameOne(run, most, &blame, now)
	}
	return blame
}

// priorEnds is how many upstreams are known to have ended under a request. A completion
// here is later than what its sender knew.
func (l *Ledger) priorEnds(run Running, now time.Time) int {
	e := l.entries[run.Fingerprint]
	switch {
	case e == nil && run.Completed && run.Known < HoldFrom:
		return 0
	case e == nil:
		return run.Known
	}
	if e.clearedLately(now) {
		return 0
	}
	prior := max(e.ends, run.Known)
	if run.Completed && prior < HoldFrom && now.Sub(e.since) < endsTogether {
		return 0
	}
	return prior
}

func (l *Ledger) blameOne(run Running, most int, blame *Blame, now time.Time) {
	prior := l.priorEnds(run, now)
	e := l.entries[run.Fingerprint]
	if prior < most {
		if e == nil {
			l.suspect(run.Fingerprint, blame, now)
		}
		return
	}
	if prior == 0 && (e == nil || e.worst == 0) {
		l.suspect(run.Fingerprint, blame, now)
		return
	}
	if e == nil {
		e = l.add(run.Fingerprint, now)
	}
	e.ends = min(max(prior, e.worst)+1, MaxEnds)
	e.stamp++
	e.since, e.tries = now, 0
	e.completed = time.Time{}
	e.label = run.Label
	blame.Held = append(blame.Held, Blamed{Record: e.record(run.Fingerprint), Label: run.Label})
}

func (l *Ledger) suspect(f Fingerprint, blame *Blame, now time.Time) {
	e := l.entries[f]
	if e == nil {
		e = l.add(f, now)
	}
	e.ends, e.since = 1, now
	e.completed = time.Time{}
	blame.Suspects = append(blame.Suspects, f)
}
