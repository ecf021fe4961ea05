package observe

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollengauge.dev/call"
)

const (
	outcomeCount = int(call.Complete) + 1
	// noReason is the label value of a complete answer.
	noReason = "none"
)

// reasonIndex maps each known reason to its index in the slices of counters.
// Index 0 counts reasons that this version doesn't know.
var reasonIndex = makeReasonIndex()

func makeReasonIndex() map[call.Reason]int {
	index := map[call.Reason]int{call.ReasonNone: 1}
	for _, reason := range Reasons() {
		index[reason] = len(index) + 1
	}
	return index
}

// ProfileMetrics holds the resolved handles of one profile.
type ProfileMetrics struct {
	Inbound, Outbound                    metrics.Counter
	Granted, HandedDown, Spent, Returned metrics.Counter
	Brownouts, InTarget                  metrics.Counter
	QueueWait, Total                     *Histogram
	LevelBelow                           metrics.Gauge

	name    string
	calls   [outcomeCount][]metrics.Counter
	refused []metrics.Counter

	retries Counters
	mu      sync.RWMutex
	// verdicts holds the handles of retries by verdict. The verdicts are constants
	// of the packages that decide on retries, so the map stays small.
	verdicts map[string]metrics.Counter
}

func (m *Metrics) newProfile(name string) *ProfileMetrics {
	p := &ProfileMetrics{
		Inbound:    m.attempts.With(name, DirectionInbound),
		Outbound:   m.attempts.With(name, DirectionOutbound),
		Granted:    m.credits.With(name, CreditGranted),
		HandedDown: m.credits.With(name, CreditHandedDown),
		Spent:      m.credits.With(name, CreditSpent),
		Returned:   m.credits.With(name, CreditReturned),
		Brownouts:  m.brownouts.With(name),
		InTarget:   m.inTarget.With(name),
		QueueWait:  m.queueWait.With(name),
		Total:      m.callTime.With(name),
		LevelBelow: m.levelBelow.With(name),
		name:       name,
		retries:    m.retries,
		verdicts:   make(map[string]metrics.Counter),
	}
	for o := range outcomeCount {
		p.calls[o] = countersByReason(func(reason string) metrics.Counter {
			return m.calls.With(name, call.Outcome(o).String(), reason)
		})
	}
	p.refused = countersByReason(func(reason string) metrics.Counter { return m.refused.With(name, reason) })
	return p
}

// countersByReason creates one counter for each index of reasonIndex, and one for
// index 0.
func countersByReason(counter func(reason string) metrics.Counter) []metrics.Counter {
	counters := make([]metrics.Counter, len(reasonIndex)+1)
	counters[0] = counter(other)
	for reason, i := range reasonIndex {
		if reason == call.ReasonNone {
			reason = noReason
		}
		counters[i] = counter(string(reason))
	}
	return counters
}

// Name returns the profile's name, or "other" for profiles over maxProfiles.
func (p *ProfileMetrics) Name() string { return p.name }

// Call counts a call that was answered.
func (p *ProfileMetrics) Call(outcome call.Outcome, reason call.Reason) {
	if int(outcome) >= outcomeCount {
		outcome = call.Unknown
	}
	p.calls[outcome][reasonIndex[reason]].Inc(1)
}

// Refused counts a call that this node refused before dispatch.
func (p *ProfileMetrics) Refused(reason call.Reason) { p.refused[reasonIndex[reason]].Inc(1) }

// Retry counts a decision on a further attempt.
func (p *ProfileMetrics) Retry(verdict string) {
	p.mu.RLock()
	counter := p.verdicts[verdict]
	p.mu.RUnlock()
	if counter == nil {
		counter = p.retries.With(p.name, verdict)
		p.mu.Lock()
		p.verdicts[verdict] = counter
		p.mu.Unlock()
	}
	counter.Inc(1)
}

// ProfileCounts holds the totals of a profile since the process started, and
// percentiles of its recent call times.
type ProfileCounts struct {
	Complete, NotRun, Unknown int64
	Stale, Spent              int64
	P50, P99                  time.Duration
}

// Counts returns the totals of the profile and its recent call time percentiles.
func (p *ProfileMetrics) Counts() ProfileCounts {
	const median, tail = 50, 99
	return ProfileCounts{
		Complete: sum(p.calls[call.Complete]),
		NotRun:   sum(p.calls[call.NotRun]),
		Unknown:  sum(p.calls[call.Unknown]),
		Stale:    p.Brownouts.Count(),
		Spent:    p.Spent.Count(),
		P50:      p.Total.Recent(median),
		P99:      p.Total.Recent(tail),
	}
}

func sum(counters []metrics.Counter) int64 {
	var n int64
	for _, c := range counters {
		n += c.Count()
	}
	return n
}
