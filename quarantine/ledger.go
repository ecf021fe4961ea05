package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// MaxEntries bounds a Ledger. The entries with the fewest crashes are evicted first,
// and among those the oldest; their requests may run again.
const MaxEntries = 4096

// Ledger stores what one member knows of the requests under which upstreams crashed. It
// does not distinguish services: after a routing change, a request may reach other
// upstreams and crash those as well.
type Ledger struct {
	// size is the number of entries. It is read without the lock, so that calls bypass
	// the ledger while it is empty.
	size atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// trial is the request whose trial is running here, if trying is set.
	trial  Fingerprint
	trying bool
}

// entry is the state of one request.
type entry struct {
	crashes int
	stamp   uint64
	// inconclusiveTrials is the number of trials without a result since the last crash.
	inconclusiveTrials int
	// provenCrashes is the highest number of crashes of a request that was proven to be
	// the cause and then cleared. If it crashes another upstream, it is held as before.
	provenCrashes int
	// changedAt is when the number of crashes last changed here.
	changedAt time.Time
	// completedAt is when the request last completed here, zero if it has not done so
	// since the entry was created.
	completedAt time.Time
	// cleared reports whether the last change of the number of crashes cleared it.
	cleared bool
	label   string
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[Fingerprint]*entry)} }

// Empty reports whether the ledger has no entries.
func (l *Ledger) Empty() bool { return l.size.Load() == 0 }

// Action states what may be done with a request.
type Action uint8

// The values of Action.
const (
	// Run: the request may run; it is not quarantined.
	Run Action = iota
	// Trial: the member that TrialMember selects may run the request once, as the only
	// quarantined request there.
	Trial
	// Hold: the request is quarantined and must not run.
	Hold
)

// Verdict is the decision on whether a request may run.
type Verdict struct {
	Action Action
	// Ends is the number of upstreams in succession that have crashed under the
	// request.
	Ends int
	// Stamp is the Stamp of the Record that the verdict is based on.
	Stamp uint64
	// After is how much longer the request is held.
	After time.Duration
}

// trialTime is the time after which a request is expected to have completed its trial.
const trialTime = time.Second

// Decide returns what may be done with a request that is about to be sent to a member.
func (l *Ledger) Decide(f Fingerprint, now time.Time) Verdict {
	if l.Empty() {
		return Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide(f, now)
}

func (l *Ledger) decide(f Fingerprint, now time.Time) Verdict {
	e := l.entries[f]
	if e == nil {
		return Verdict{}
	}
	verdict := Verdict{Ends: e.crashes, Stamp: e.stamp}
	if e.crashes < QuarantineThreshold {
		return verdict
	}
	verdict.Action = Trial
	if left := e.remainingHold(now); left > 0 {
		verdict.Action, verdict.After = Hold, left
	}
	return verdict
}

// remainingHold returns how much longer the request is held. A trial without a result
// counts like a crash, because it may have crashed the upstream.
func (e *entry) remainingHold(now time.Time) time.Duration {
	return max(HoldTime(e.crashes+e.inconclusiveTrials)-now.Sub(e.changedAt), 0)
}

// Begin decides whether a request may run here. If the verdict is Trial, the trial has
// begun, and it ends with Blame, Completed or Abandon. Only one trial runs at a time,
// so that the cause is certain if the upstream crashes.
func (l *Ledger) Begin(f Fingerprint, now time.Time) Verdict {
	if l.Empty() {
		return Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.decide(f, now)
	if verdict.Action != Trial {
		return verdict
	}
	if l.trying {
		verdict.Action, verdict.After = Hold, trialTime
		return verdict
	}
	l.trial, l.trying = f, true
	return verdict
}

// Abandon ends a trial without a result. If the request was sent to the upstream, it is
// quarantined again, for longer.
func (l *Ledger) Abandon(f Fingerprint, sent bool, now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.endTrial(f) || !sent {
		return
	}
	if e := l.entries[f]; e != nil && e.crashes >= QuarantineThreshold {
		e.inconclusiveTrials++
		e.changedAt = now
	}
}

// endTrial ends the trial of a request, and reports whether one was running.
func (l *Ledger) endTrial(f Fingerprint) bool {
	if !l.trying || l.trial != f {
		return false
	}
	l.trying = false
	return true
}

// Completed clears a request that has completed here. It reports in announce whether
// the other members hold the request in quarantine, so that the record must be
// announced to them.
func (l *Ledger) Completed(f Fingerprint, now time.Time) (record Record, announce bool) {
	if l.Empty() {
		return Record{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endTrial(f)
	e := l.entries[f]
	if e == nil {
		return Record{}, false
	}
	announce = e.crashes >= QuarantineThreshold
	e.clear(now)
	e.completedAt = now
	return e.record(f), announce
}

// Clear releases a request on an operator's command. It returns false if the request is
// unknown.
func (l *Ledger) Clear(f Fingerprint, now time.Time) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return Record{}, false
	}
	e.clear(now)
	e.provenCrashes = 0
	return e.record(f), true
}

// clear resets the number of crashes. It raises the stamp only if the request was
// quarantined, because only then do the other members hold it.
func (e *entry) clear(now time.Time) {
	if e.crashes == 0 {
		return
	}
	if e.crashes >= provenThreshold {
		e.provenCrashes = max(e.provenCrashes, e.crashes)
	}
	if e.crashes >= QuarantineThreshold {
		e.stamp++
	}
	e.crashes, e.inconclusiveTrials, e.cleared = 0, 0, true
	e.changedAt = now
}

func (e *entry) record(f Fingerprint) Record {
	return Record{Fingerprint: f, Ends: e.crashes, Stamp: e.stamp}
}

// Merge applies a record received from another member, and reports in changed whether
// it had an effect: an older record has none, and neither has one that clears a request
// without crashes. If this member has seen the request complete recently, contradicts
// is true, and reply is the record that clears the request, to be announced to the
// others.
func (l *Ledger) Merge(received Record, now time.Time) (changed bool, reply Record, contradicts bool) {
	received.Ends = min(max(received.Ends, 0), MaxEnds)
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[received.Fingerprint]
	if e == nil {
		// A record that clears a request may arrive before the one that quarantined it.
		e = l.add(received.Fingerprint, now)
	} else if !received.supersedes(e.record(received.Fingerprint)) {
		return false, Record{}, false
	}
	if received.Ends == 0 {
		changed = e.crashes > 0
		e.clear(now)
		e.stamp, e.cleared = received.Stamp, true
		return changed, Record{}, false
	}
	e.crashes, e.stamp, e.changedAt, e.inconclusiveTrials = received.Ends, received.Stamp, now, 0
	if received.Ends < provenThreshold && e.recentlyCompleted(now) {
		e.clear(now)
		return true, e.record(received.Fingerprint), true
	}
	return true, Record{}, false
}

// Suspect records requests that were running at another member's upstream when it
// crashed.
func (l *Ledger) Suspect(suspects []Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range suspects {
		e := l.entries[f]
		if e == nil {
			e = l.add(f, now)
		}
		if e.crashes == 0 && !e.recentlyCleared(now) {
			e.crashes, e.changedAt = 1, now
		}
	}
}

// recentlyCleared reports whether the request has no crashes because it completed or
// was cleared a short time ago. Older counts from other members are ignored in that
// case.
func (e *entry) recentlyCleared(now time.Time) bool {
	return e.crashes == 0 && (e.recentlyCompleted(now) || e.cleared && now.Sub(e.changedAt) < completionValidity)
}

func (e *entry) recentlyCompleted(now time.Time) bool {
	return !e.completedAt.IsZero() && now.Sub(e.completedAt) < completionValidity
}

// add creates an entry, evicting others if the ledger is full.
func (l *Ledger) add(f Fingerprint, now time.Time) *entry {
	if len(l.entries) >= MaxEntries {
		l.evict()
	}
	e := &entry{changedAt: now}
	l.entries[f] = e
	l.size.Store(int64(len(l.entries)))
	return e
}

// evictedShare is the divisor for the part of the entries that a full ledger evicts at
// once, so that the next entries fit without another eviction.
const evictedShare = 8

func (l *Ledger) evict() {
	known := make([]Fingerprint, 0, len(l.entries))
	for f := range l.entries {
		known = append(known, f)
	}
	slices.SortFunc(known, func(a, b Fingerprint) int {
		one, other := l.entries[a], l.entries[b]
		return cmp.Or(cmp.Compare(one.weight(), other.weight()), one.changedAt.Compare(other.changedAt), cmp.Compare(a, b))
	})
	for _, f := range known[:max(len(known)/evictedShare, 1)] {
		delete(l.entries, f)
	}
}

func (e *entry) weight() int { return max(e.crashes, e.provenCrashes) }

// Sweep deletes expired entries.
func (l *Ledger) Sweep(now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, e := range l.entries {
		if now.Sub(e.changedAt) >= entryTTL(e.weight()) {
			delete(l.entries, f)
		}
	}
	l.size.Store(int64(len(l.entries)))
}

// Held is a quarantined or suspected request as shown to an operator.
type Held struct {
	Fingerprint Fingerprint
	Ends        int
	// Since is when an upstream last crashed under the request, as far as this member
	// knows.
	Since time.Time
	// Left is how much longer the request is held, 0 once a trial may run.
	Left time.Duration
	// Label describes the request at the member whose upstream crashed; it is ""
	// elsewhere.
	Label string
}

// List returns the requests with at least the given number of crashes, those with the
// most crashes first.
func (l *Ledger) List(minCrashes int, now time.Time) []Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []Held
	for f, e := range l.entries {
		if e.crashes >= max(minCrashes, 1) {
			held = append(held, Held{
				Fingerprint: f,
				Ends:        e.crashes,
				Since:       e.changedAt,
				Left:        e.remainingHold(now),
				Label:       e.label,
			})
		}
	}
	slices.SortFunc(held, func(a, b Held) int {
		return cmp.Or(cmp.Compare(b.Ends, a.Ends), a.Since.Compare(b.Since), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return held
}

// RecordsToAnnounce returns the records of quarantined requests to announce, in no
// particular order. It omits entries that are about to expire; otherwise members would
// receive them from each other again and again, and never forget them.
func (l *Ledger) RecordsToAnnounce(now time.Time) []Record {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for f, e := range l.entries {
		if e.crashes >= QuarantineThreshold && now.Sub(e.changedAt) < announceTime(e.crashes) {
			records = append(records, e.record(f))
		}
	}
	return records
}

// Counts has the number of suspects and the number of quarantined requests.
type Counts struct{ Suspects, Held int }

// Counts returns how many requests are suspects and how many are quarantined.
func (l *Ledger) Counts() Counts {
	if l.Empty() {
		return Counts{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Counts
	for _, e := range l.entries {
		switch {
		case e.crashes >= QuarantineThreshold:
			c.Held++
		case e.crashes > 0:
			c.Suspects++
		}
	}
	return c
}
