package routing

import (
	"time"
)

// Picked is a chosen target. The call counts as in flight on it until Done.
type Picked struct {
	Target Target
	// Probe is true when the target is ejected and this call probes it.
	Probe bool

	stats *targetStats
	// predicted is the predicted latency in microseconds, 0 if there is none.
	predicted int64
	router    *Router
}

// Call describes the call to choose a target for.
type Call struct {
	Service string
	// Exclude holds the IDs of the targets already tried for this call.
	Exclude []string
	// NoProbe is true for a call that must not probe an ejected target, such as
	// a filing that can't be repeated.
	NoProbe bool
	// Profile is the ProfileKey of the call's profile, and TimeLeft the time until
	// its deadline. Without them work times are ignored.
	Profile  uint32
	TimeLeft time.Duration
}

// Pick chooses a target. exclude holds the IDs already tried for this call; rnd
// is any random number. The error is a *NoTargetError.
//
// Done must be called exactly once for each Picked.
func (r *Router) Pick(service string, exclude []string, rnd uint64, now time.Time) (Picked, error) {
	return r.PickFor(Call{Service: service, Exclude: exclude}, rnd, now)
}

// PickFor is like Pick, with all properties of the call given.
func (r *Router) PickFor(call Call, rnd uint64, now time.Time) (Picked, error) {
	s := (*r.services.Load())[call.Service]
	if s == nil {
		return Picked{}, &NoTargetError{Service: call.Service, Reason: NoTargetNone}
	}
	at := r.recordTime(now)
	c := choice{
		view:       s.view.Load(),
		config:     &r.config,
		exclude:    call.Exclude,
		typical:    s.typical.Load(),
		rnd:        rnd,
		at:         at,
		probe:      !call.NoProbe,
		profile:    call.Profile,
		leftMicros: call.TimeLeft.Microseconds(),
	}
	c.spillShare, c.spillKnown = s.spill.spillShare(at)
	candidate, probed := c.pickTarget()
	if candidate == nil {
		return Picked{}, &NoTargetError{Service: call.Service, Reason: c.view.noTargetReason(at, &r.config)}
	}
	predicted := c.predictedLatency(candidate)
	candidate.stats.inFlight.Add(1)
	candidate.stats.reported.sent.Add(1)
	candidate.stats.beginSlowStart(at)
	return Picked{Target: candidate.target, Probe: probed, stats: candidate.stats, router: r, predicted: predicted}, nil
}

// Done ends the call's count as in flight and records its result. It returns
// the number of calls that this node still has in flight on the target.
func (p Picked) Done(f Feedback, now time.Time) int {
	if p.stats == nil {
		return 0
	}
	m, config := p.stats, &p.router.config
	at := p.router.recordTime(now)
	left := m.release()
	m.reported.store(f.Reported, f.Load, at, &p.router.ignoredLoads)
	failing := m.addFeedback(f, p.Target.Revision, at, config)
	switch {
	case failing:
		m.service.eject(m, at, config)
	case p.Probe && f.verdict() == verdictGood && m.recovered(f.Latency, at, config):
		m.readmit(f, at)
	}
	if f.verdict() == verdictGood && !f.Reported.IsZero() {
		m.reported.compareLatency(f.Latency.Microseconds(), p.predicted, at)
	}
	m.service.detectOutliers(at, config)
	m.service.spill.update(m.service.view.Load(), at)
	return int(left)
}

// recovered reports whether the latency of a probe is not an outlier.
func (m *targetStats) recovered(took time.Duration, at int64, config *Config) bool {
	peers := m.service.view.Load().peersOf(m)
	return !isOutlier(took.Microseconds(), medianLatency(peers, at), config)
}
