package quarantine

import "time"

// Running is a request that an upstream was running when it crashed.
type Running struct {
	Fingerprint Fingerprint
	// Known is the number of upstreams that had crashed under the request before, as
	// far as the member that sent it here knew.
	Known int
	// Completed reports whether the same request had already completed at this
	// incarnation of the upstream.
	Completed bool
	// Label describes the request for operators.
	Label string
}

// Blamed is the new Record of a request that was blamed for a crash.
type Blamed struct {
	Record
	Label string
}

// Blame is the result of attributing an upstream's crash to the requests that it was
// running.
type Blame struct {
	// Held are the requests that are quarantined from now on, or for longer than
	// before.
	Held []Blamed
	// Suspects are the requests under which an upstream has crashed for the first time.
	Suspects []Fingerprint
}

// Blame counts the crash of an upstream against the requests that it was running.
//
// One request may crash each upstream that runs it. Tens of other requests run beside
// it and are sent on to the same next upstream. Only the counts of the requests with the
// most earlier crashes rise. For a request with fewer, another running request explains
// the crash better, so it becomes a suspect at most. An innocent request that happens to
// run beside the cause is therefore not quarantined for it.
//
// A count rises by one from the count that was known when the run began. Upstreams that
// crash at the same moment, as when a zone fails, therefore count once for the requests
// that were running at all of them. When the upstreams of a zone fail one by one, a
// request is sent on to the next upstream just before that one fails too; a request
// that had completed there before is not counted again within commonCauseWindow.
func (l *Ledger) Blame(runs []Running, now time.Time) Blame {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxPrior := 0
	for _, run := range runs {
		maxPrior = max(maxPrior, l.priorCrashes(run, now))
	}
	var blame Blame
	seen := make(map[Fingerprint]bool, len(runs))
	for _, run := range runs {
		if seen[run.Fingerprint] {
			continue
		}
		seen[run.Fingerprint] = true
		l.endTrial(run.Fingerprint)
		l.blameOne(run, maxPrior, &blame, now)
	}
	return blame
}

// priorCrashes returns how many upstreams are known to have crashed under a request. A
// completion here is more recent than the count that the sender knew.
func (l *Ledger) priorCrashes(run Running, now time.Time) int {
	e := l.entries[run.Fingerprint]
	switch {
	case e == nil && run.Completed && run.Known < QuarantineThreshold:
		return 0
	case e == nil:
		return run.Known
	}
	if e.recentlyCleared(now) {
		return 0
	}
	prior := max(e.crashes, run.Known)
	if run.Completed && prior < QuarantineThreshold && now.Sub(e.changedAt) < commonCauseWindow {
		return 0
	}
	return prior
}

func (l *Ledger) blameOne(run Running, most int, blame *Blame, now time.Time) {
	prior := l.priorCrashes(run, now)
	e := l.entries[run.Fingerprint]
	if prior < most {
		if e == nil {
			l.suspect(run.Fingerprint, blame, now)
		}
		return
	}
	if prior == 0 && (e == nil || e.provenCrashes == 0) {
		l.suspect(run.Fingerprint, blame, now)
		return
	}
	if e == nil {
		e = l.add(run.Fingerprint, now)
	}
	e.crashes = min(max(prior, e.provenCrashes)+1, MaxEnds)
	e.stamp++
	e.changedAt, e.inconclusiveTrials = now, 0
	e.completedAt = time.Time{}
	e.label = run.Label
	blame.Held = append(blame.Held, Blamed{Record: e.record(run.Fingerprint), Label: run.Label})
}

func (l *Ledger) suspect(f Fingerprint, blame *Blame, now time.Time) {
	e := l.entries[f]
	if e == nil {
		e = l.add(f, now)
	}
	e.crashes, e.changedAt = 1, now
	e.completedAt = time.Time{}
	blame.Suspects = append(blame.Suspects, f)
}
