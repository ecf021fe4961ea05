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

// visit is one execution of a call at the local upstream. The upstream sends the
// visit's id with every call that it makes on behalf of it. The visit records what
// the outcome depends on: which downstream calls ran, the retry credit left, and the
// highest admission level reported from downstream.
type visit struct {
	id  string
	ctx context.Context
	// abort ends the run.
	abort    context.CancelFunc
	call     call.Context
	deadline time.Time
	started  time.Time
	credit   *retry.Credit
	// incarnation is the incarnation of the upstream that runs the call.
	incarnation *upstreamIncarnation
	request     *request
	// broken is set once the connection to the upstream is found broken.
	broken         atomic.Bool
	ticket         admission.Ticket
	children       *atmostonce.Visit
	orphansAtStart uint64
	// finalCredit is the retry credit that is returned with the answer. It is
	// computed once.
	finalCredit     int
	finalCreditOnce sync.Once

	mu     sync.Mutex
	closed bool
	// abandoned is set once the caller no longer waits for the answer.
	abandoned bool
	open      int
	// done counts the downstream calls that ran or may have run.
	done int
	// completed counts the downstream calls that succeeded, by profile.
	completed map[string]int
	// downstreamTime is the total time during which downstream calls were open, and
	// openSince the start of the first of those that are open now.
	downstreamTime time.Duration
	openSince      time.Time
	worst          call.Level
	// reportedWork is the sum of the work that downstream calls reported, in
	// milliseconds.
	reportedWork int
	// downstreamFailed is set once a downstream call has failed.
	downstreamFailed bool
}

// begin opens a downstream call. It returns false once the visit is closed: a call
// that the upstream makes after its response was judged can no longer be counted, and
// would make a not-run that was already reported wrong. It also returns false once the
// visit has lost its caller: nobody needs the call.
func (v *visit) begin(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed || v.abandoned {
		return false
	}
	if v.open == 0 {
		v.openSince = now
	}
	v.open++
	return true
}

// end records the report of a downstream call that has its outcome.
func (v *visit) end(r call.Report, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.open--
	if v.open == 0 {
		v.downstreamTime += now.Sub(v.openSince)
	}
	v.worst = max(v.worst, r.HighestAdmitLevel)
	v.reportedWork += r.Work
	if r.Outcome != call.NotRun {
		v.done++
	}
}

// noteAnswer records the answer to a downstream call. It runs before the answer is
// given to the upstream, whose own response may follow at once.
func (v *visit) noteAnswer(profile string, r call.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Outcome != call.Complete || r.Reason != call.ReasonNone {
		v.downstreamFailed = true
		return
	}
	if v.completed == nil {
		v.completed = make(map[string]int)
	}
	v.completed[profile]++
}

// errorReason distinguishes an error of the upstream itself from an error that a
// downstream call caused. Only the upstream's own error may disappear at another
// upstream.
func (v *visit) errorReason(status int) call.Reason {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case status < http.StatusInternalServerError:
		return call.ReasonNone
	case status == http.StatusInternalServerError && !v.downstreamFailed:
		return call.ReasonUpstreamFailed
	}
	return call.ReasonFailedBelow
}

// completedCalls returns how many downstream calls succeeded, by profile.
func (v *visit) completedCalls() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.completed)
}

// completedOf returns how many downstream calls of one profile succeeded.
func (v *visit) completedOf(profile string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.completed[profile]
}

// close ends the visit and reports whether no downstream call ran. A call that is
// still open counts as run, because its outcome would come too late to be reported.
func (v *visit) close() (nothingRan bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	return v.done == 0 && v.open == 0
}

// abandon records that the caller no longer waits for the answer.
func (v *visit) abandon() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.abandoned = true
}

func (v *visit) isAbandoned() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.abandoned
}

// calling reports whether the run waits for a downstream call.
func (v *visit) calling() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.open > 0
}

// worked returns how long the upstream itself has worked until now. The time during
// which downstream calls were open is not counted.
func (v *visit) worked(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	downstream := v.downstreamTime
	if v.open > 0 {
		downstream += now.Sub(v.openSince)
	}
	return now.Sub(v.started) - downstream
}

// creditLeft closes the retry credit and returns the amount that is returned with the
// answer. It always returns the same number, so that the answer and the hop record
// agree.
func (v *visit) creditLeft() int {
	v.finalCreditOnce.Do(func() { v.finalCredit = v.credit.Left() })
	return v.finalCredit
}

// progress returns the number of calls already run for the request, for the context
// of a downstream call made now: those before this visit, and the visit's own calls
// that ran. Figures sent by outside callers are never used, so progress can't be
// forged.
func (v *visit) progress() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return min(v.call.Progress+v.done, call.MaxProgress)
}

func (v *visit) downstreamWork() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reportedWork
}

func (v *visit) worstDownstream() call.Level {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.worst
}

const visitShards = 32

// visits is the registry of open visits by id.
type visits struct {
	prefix string
	next   atomic.Uint64
	seed   maphash.Seed
	shards [visitShards]visitShard
	// unnamedCalls counts outbound calls that named no visit. A visit that was open when
	// such a call was made can't prove that no downstream call ran.
	unnamedCalls atomic.Uint64
}

type visitShard struct {
	mu   sync.Mutex
	byID map[string]*visit
	_    [40]byte // avoids false sharing of neighbouring locks
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

// add registers v under a new id.
func (vs *visits) add(v *visit) {
	v.id = vs.prefix + strconv.FormatUint(vs.next.Add(1), 36)
	v.orphansAtStart = vs.unnamedCalls.Load()
	s := vs.shard(v.id)
	s.mu.Lock()
	s.byID[v.id] = v
	s.mu.Unlock()
}

// addAs registers v under the id of its request. If the request runs twice here, find
// returns the later run.
func (vs *visits) addAs(v *visit, id string) {
	v.id = id
	v.orphansAtStart = vs.unnamedCalls.Load()
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

// openVisitsAt returns the open visits at one incarnation of the upstream whose connections
// broke, and counts those with an unbroken connection that began before the given
// time.
func (vs *visits) openVisitsAt(incarnation *upstreamIncarnation, before time.Time) (broken []*visit, unbroken int) {
	for i := range vs.shards {
		s := &vs.shards[i]
		s.mu.Lock()
		for _, v := range s.byID {
			switch {
			case v.incarnation != incarnation:
			case v.broken.Load():
				broken = append(broken, v)
			case v.started.Before(before):
				unbroken++
			}
		}
		s.mu.Unlock()
	}
	return broken, unbroken
}

// abortAll ends the runs of all open visits.
func (vs *visits) abortAll() {
	for i := range vs.shards {
		s := &vs.shards[i]
		s.mu.Lock()
		for _, v := range s.byID {
			if v.abort != nil {
				v.abort()
			}
		}
		s.mu.Unlock()
	}
}

func (vs *visits) remove(v *visit) {
	s := vs.shard(v.id)
	s.mu.Lock()
	if s.byID[v.id] == v {
		delete(s.byID, v.id)
	}
	s.mu.Unlock()
}

// closeProved closes v and reports whether it is proved that no downstream call ran.
// Calls that named no visit invalidate the proof.
func (vs *visits) closeProved(v *visit) bool {
	nothingRan := v.close()
	return nothingRan && vs.unnamedCalls.Load() == v.orphansAtStart
}
