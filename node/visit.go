package node

import (
	"context"
	"hash/maphash"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/retry"
)

// visit is one run of a call at the local upstream. The upstream names it on
// every call that it makes for it, and the visit keeps the account that the
// outcome rests on: which calls below ran, what credit is left, and the worst
// admission level seen below.
type visit struct {
	id       string
	ctx      context.Context
	call     call.Context
	deadline time.Time
	started  time.Time
	credit   *retry.Credit
	// life is the incarnation of the upstream that runs it.
	life    *upstreamLife
	request *request
	// broken is set once the connection to the upstream is found broken.
	broken   atomic.Bool
	ticket   admission.Ticket
	children *atmostonce.Visit
	orphans  uint64
	// left is the credit that goes back with the answer, settled once.
	left     int
	leftOnce sync.Once

	mu     sync.Mutex
	closed bool
	open   int
	// done counts the calls below that ran or may have.
	done int
	// completed counts, by profile, the calls below that ended well.
	completed map[string]int
	// below is how long calls below were open, and openSince when the first of
	// those that are open now began.
	below     time.Duration
	openSince time.Time
	worst     call.Level
	// workBelow is the work that calls below reported, in milliseconds.
	workBelow int
	// failedBelow is set once a call below failed.
	failedBelow bool
}

// begin opens a call below. It fails once the visit is closed: a call that an
// upstream makes after its answer was judged could no longer be counted in
// that judgement, and a not-run already told would become a lie.
func (v *visit) begin(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return false
	}
	if v.open == 0 {
		v.openSince = now
	}
	v.open++
	return true
}

// end accounts a call below that has its outcome.
func (v *visit) end(r call.Report, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.open--
	if v.open == 0 {
		v.below += now.Sub(v.openSince)
	}
	v.worst = max(v.worst, r.Worst)
	v.workBelow += r.Work
	if r.Outcome != call.NotRun {
		v.done++
	}
}

// noteAnswer takes in the answer of a call below, before it is given to the upstream:
// the upstream's own answer may come at once.
func (v *visit) noteAnswer(profile string, r call.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Outcome != call.Complete || r.Reason != call.ReasonNone {
		v.failedBelow = true
		return
	}
	if v.completed == nil {
		v.completed = make(map[string]int)
	}
	v.completed[profile]++
}

// errorReason tells an error of the upstream's own from one that a call below
// caused. Only the first may be gone at another upstream.
func (v *visit) errorReason(status int) call.Reason {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case status < http.StatusInternalServerError:
		return call.ReasonNone
	case status == http.StatusInternalServerError && !v.failedBelow:
		return call.ReasonUpstreamFailed
	}
	return call.ReasonFailedBelow
}

// completedCalls returns the calls below that ended well, by profile.
func (v *visit) completedCalls() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.completed)
}

// completedOf is how many calls below of one profile ended well.
func (v *visit) completedOf(profile string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.completed[profile]
}

// close ends the visit and reports whether nothing ran below it. A call still
// open counts as run: its outcome would come too late to be told.
func (v *visit) close() (nothingRan bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	return v.done == 0 && v.open == 0
}

// worked is how long the upstream itself worked until now: the time in which
// calls below were open is that of others.
func (v *visit) worked(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	below := v.below
	if v.open > 0 {
		below += now.Sub(v.openSince)
	}
	return now.Sub(v.started) - below
}

// creditLeft closes the credit and returns what goes back with the answer. It
// always gives the same number: the answer and the record must agree.
func (v *visit) creditLeft() int {
	v.leftOnce.Do(func() { v.left = v.credit.Left() })
	return v.left
}

// progress is what a call made now is told of the work done for its request:
// what was done before this visit, and its own calls that ran. Callers' own
// figures never get here, so it can't be claimed from outside.
func (v *visit) progress() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return min(v.call.Progress+v.done, call.MaxProgress)
}

func (v *visit) workedBelow() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.workBelow
}

func (v *visit) worstBelow() call.Level {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.worst
}

const visitShards = 32

// visits finds the open visits by id.
type visits struct {
	prefix string
	next   atomic.Uint64
	seed   maphash.Seed
	shards [visitShards]visitShard
	// orphans counts calls out that named no visit. A visit that was open
	// while one was made can't prove that nothing ran below it.
	orphans atomic.Uint64
}

type visitShard struct {
	mu   sync.Mutex
	byID map[string]*visit
	_    [40]byte // keeps neighbouring locks off one cache line
}

func newVisits(prefix string) *visits {
	vs := &visits{prefix: prefix, seed: maphash.MakeSeed()}
	for i := range vs.shards {
		vs.shards[i].byID = make(map[string]*visit)
	}
	return vs
}

func (vs *visits) shard(id string) *visitShard {
	return &vs.shards[maphash.String(vs.seed, id)%visitShards]
}

// add registers v under a fresh id.
func (vs *visits) add(v *visit) {
	v.id = vs.prefix + strconv.FormatUint(vs.next.Add(1), 36)
	v.orphans = vs.orphans.Load()
	s := vs.shard(v.id)
	s.mu.Lock()
	s.byID[v.id] = v
	s.mu.Unlock()
}

// addAs registers v under the id of its request. Should the request run twice
// here, the later run is found.
func (vs *visits) addAs(v *visit, id string) {
	v.id = id
	v.orphans = vs.orphans.Load()
	s := vs.shard(id)
	s.mu.Lock()
	s.byID[id] = v
	s.mu.Unlock()
}

func (vs *visits) find(id string) (*visit, bool) {
	s := vs.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.byID[id]
	return v, ok
}

// under returns the open visits at one incarnation of the upstream whose connections
// broke, and how many of those that began before a time have whole ones.
func (vs *visits) under(life *upstreamLife, before time.Time) (broken []*visit, whole int) {
	for i := range vs.shards {
		s := &vs.shards[i]
		s.mu.Lock()
		for _, v := range s.byID {
			switch {
			case v.life != life:
			case v.broken.Load():
				broken = append(broken, v)
			case v.started.Before(before):
				whole++
			}
		}
		s.mu.Unlock()
	}
	return broken, whole
}

func (vs *visits) remove(v *visit) {
	s := vs.shard(v.id)
	s.mu.Lock()
	if s.byID[v.id] == v {
		delete(s.byID, v.id)
	}
	s.mu.Unlock()
}

// closeProved closes v and reports whether it is proved that no call below
// ran, counting calls that named no visit against the proof.
func (vs *visits) closeProved(v *visit) bool {
	nothingRan := v.close()
	return nothingRan && vs.orphans.Load() == v.orphans
}
