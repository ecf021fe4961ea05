package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// MaxEntries bounds a Ledger. What goes first is what was blamed least and longest
// ago: it may run again.
const MaxEntries = 4096

// Ledger is what one member knows of requests, whichever services run them: a route
// may come to lead to other upstreams, and the request end those as well.
type Ledger struct {
	// size is the number of entries, read without the lock: without any, calls go
	// past the ledger.
	size atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// trial is the request that is being tried here; trying tells that there is one.
	trial  Fingerprint
	trying bool
}

// entry is what is known of one request.
type entry struct {
	ends  int
	stamp uint64
	// tries is how many trials since showed nothing.
	tries int
	// worst is the most ends of a request that was proven to be the cause and then
	// cleared: should it end another upstream, it is held as before.
	worst int
	// since is when the ends last changed here.
	since time.Time
	// completed is when the request last completed here, zero if it did not since
	// it is known.
	completed time.Time
	// cleared tells that the ends were last changed by a word that cleared them.
	cleared bool
	label   string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[Fingerprint]*entry)} }

// Empty reports whether no request is known.
func (l *Ledger) Empty() bool { return l.size.Load() == 0 }

// Action is what may be done with a request.
type Action uint8

// The actions.
const (
	// Run: nothing speaks against the request.
	Run Action = iota
	// Trial: the request may be run once, alone among those that are held, by the
	// member whose turn it is.
	Trial
	// Hold: the request is not to be run.
	Hold
)

// Verdict is the answer to whether a request may run.
type Verdict struct {
	Action Action
	// Ends is how many upstreams in turn have ended under the request.
	Ends int
	// Stamp is that of the Record which says so.
	Stamp uint64
	// After is how long it is still held.
	After time.Duration
}

// trialTime is after how long a request is expected to have had its trial.
const trialTime = time.Second

// Decide tells what may be done with a request that is about to be sent to a member.
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
	verdict := Verdict{Ends: e.ends, Stamp: e.stamp}
	if e.ends < HoldFrom {
		return verdict
	}
	verdict.Action = Trial
	if left := e.left(now); left > 0 {
		verdict.Action, verdict.After = Hold, left
	}
	return verdict
}

// left is how long the request is still held. A trial that showed nothing counts like
// an end: it may have cost one.
func (e *entry) left(now time.Time) time.Duration {
	return max(HoldTime(e.ends+e.tries)-now.Sub(e.since), 0)
}

// Begin tells whether a request may run here. A Trial has begun with it, and ends with
// Blame, Completed or Abandon. Only one request is tried at a time: should the upstream
// end, there is no doubt whose doing it was.
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

// Abandon ends a trial that showed nothing. If the request was sent to the upstream, it
// is held again, for longer.
func (l *Ledger) Abandon(f Fingerprint, sent bool, now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.endTrial(f) || !sent {
		return
	}
	if e := l.entries[f]; e != nil && e.ends >= HoldFrom {
		e.tries++
		e.since = now
	}
}

// endTrial ends the trial of a request, and reports whether there was one.
func (l *Ledger) endTrial(f Fingerprint) bool {
	if !l.trying || l.trial != f {
		return false
	}
	l.trying = false
	return true
}

// Completed clears a request that has run to its end here. The record is news for the
// other members if they hold the request back.
func (l *Ledger) Completed(f Fingerprint, now time.Time) (record Record, news bool) {
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
	news = e.ends >= HoldFrom
	e.clear(now)
	e.completed = now
	return e.record(f), news
}

// Clear lets a request run again, as an operator says so. It reports false if the
// request is not known.
func (l *Ledger) Clear(f Fingerprint, now time.Time) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return Record{}, false
	}
	e.clear(now)
	e.worst = 0
	return e.record(f), true
}

// clear forgets the ends. It is a later word only if the others hold the request.
func (e *entry) clear(now time.Time) {
	if e.ends == 0 {
		return
	}
	if e.ends >= provenFrom {
		e.worst = max(e.worst, e.ends)
	}
	if e.ends >= HoldFrom {
		e.stamp++
	}
	e.ends, e.tries, e.cleared = 0, 0, true
	e.since = now
}

func (e *entry) record(f Fingerprint) Record {
	return Record{Fingerprint: f, Ends: e.ends, Stamp: e.stamp}
}

// Merge takes in what another member told, and reports whether it was news. If this
// member has seen the request complete meanwhile, the answer says so, for the others.
func (l *Ledger) Merge(told Record, now time.Time) (news bool, answer Record, contradicts bool) {
	told.Ends = min(max(told.Ends, 0), MaxEnds)
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[told.Fingerprint]
	if e == nil {
		// A record that clears a request may come before the one that held it.
		e = l.add(told.Fingerprint, now)
	} else if !told.supersedes(e.record(told.Fingerprint)) {
		return false, Record{}, false
	}
	if told.Ends == 0 {
		news = e.ends > 0
		e.clear(now)
		e.stamp, e.cleared = told.Stamp, true
		return news, Record{}, false
	}
	e.ends, e.stamp, e.since, e.tries = told.Ends, told.Stamp, now, 0
	if told.Ends < provenFrom && e.completedSince(now) {
		e.clear(now)
		return true, e.record(told.Fingerprint), true
	}
	return true, Record{}, false
}

// Suspect notes requests that were running at an upstream of another member as that
// ended.
func (l *Ledger) Suspect(suspects []Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range suspects {
		e := l.entries[f]
		if e == nil {
			e = l.add(f, now)
		}
		if e.ends == 0 && !e.clearedLately(now) {
			e.ends, e.since = 1, now
		}
	}
}

// clearedLately tells that the request has no ends, as it completed or was cleared a
// short time ago. What others knew before does not count then.
func (e *entry) clearedLately(now time.Time) bool {
	return e.ends == 0 && (e.completedSince(now) || e.cleared && now.Sub(e.since) < completedRecently)
}

func (e *entry) completedSince(now time.Time) bool {
	return !e.completed.IsZero() && now.Sub(e.completed) < completedRecently
}

// add makes an entry, and room for it.
func (l *Ledger) add(f Fingerprint, now time.Time) *entry {
	if len(l.entries) >= MaxEntries {
		l.evict()
	}
	e := &entry{since: now}
	l.entries[f] = e
	l.size.Store(int64(len(l.entries)))
	return e
}

// evictedShare is the part of the entries that goes when the ledger is full, so that
// the next ones find room.
const evictedShare = 8

func (l *Ledger) evict() {
	known := make([]Fingerprint, 0, len(l.entries))
	for f := range l.entries {
		known = append(known, f)
	}
	slices.SortFunc(known, func(a, b Fingerprint) int {
		one, other := l.entries[a], l.entries[b]
		return cmp.Or(cmp.Compare(one.weight(), other.weight()), one.since.Compare(other.since), cmp.Compare(a, b))
	})
	for _, f := range known[:max(len(known)/evictedShare, 1)] {
		delete(l.entries, f)
	}
}

func (e *entry) weight() int { return max(e.ends, e.worst) }

// Sweep forgets what is out of date.
func (l *Ledger) Sweep(now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, e := range l.entries {
		if now.Sub(e.since) >= keepTime(e.weight()) {
			delete(l.entries, f)
		}
	}
	l.size.Store(int64(len(l.entries)))
}

// Held is a request as an operator sees it.
type Held struct {
	Fingerprint Fingerprint
	Ends        int
	// Since is when its last upstream ended, as far as this member knows.
	Since time.Time
	// Left is how long it is held, 0 once it may be tried.
	Left time.Duration
	// Label describes the request where its upstream ended; "" elsewhere.
	Label string
}

// List returns the requests with at least so many ends, those with most ends first.
func (l *Ledger) List(ends int, now time.Time) []Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []Held
	for f, e := range l.entries {
		if e.ends >= max(ends, 1) {
			held = append(held, Held{
				Fingerprint: f,
				Ends:        e.ends,
				Since:       e.since,
				Left:        e.left(now),
				Label:       e.label,
			})
		}
	}
	slices.SortFunc(held, func(a, b Held) int {
		return cmp.Or(cmp.Compare(b.Ends, a.Ends), a.Since.Compare(b.Since), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return held
}

// Told returns what is to be told of the requests that are held back, in no order. It
// leaves out what is to be forgotten soon, or members would learn it from each other
// for ever.
func (l *Ledger) Told(now time.Time) []Record {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for f, e := range l.entries {
		if e.ends >= HoldFrom && now.Sub(e.since) < tellTime(e.ends) {
			records = append(records, e.record(f))
		}
	}
	return records
}

// Counts are the numbers of entries.
type Counts struct{ Suspects, Held int }

// Counts returns how many requests are suspects and how many are held.
func (l *Ledger) Counts() Counts {
	if l.Empty() {
		return Counts{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Counts
	for _, e := range l.entries {
		switch {
		case e.ends >= HoldFrom:
			c.Held++
		case e.ends > 0:
			c.Suspects++
		}
	}
	return c
}
