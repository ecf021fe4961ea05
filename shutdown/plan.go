package shutdown

import "time"

const (
	// maxDrainDelay is how long the upstream on this VM still gets requests of other nodes
	// before the drain is announced to them. The upstream keeps running beside a node that is
	// only restarted, and where the nodes of a service restart one after another, each second
	// without the upstream costs capacity.
	maxDrainDelay = time.Second
	// maxAcceptTime is how long new requests are accepted. Callers poll once a second and
	// leave after two negative responses; a listener that closes sooner breaks requests that
	// are on their way. Later requests are refused as not run, so that the remaining time is
	// left to those that were accepted.
	maxAcceptTime = 2500 * time.Millisecond
	// reserveDivisor gives the last part of the time, in which nothing is expected to run any
	// more. It is for requests that take longer than expected, and for a busy machine.
	reserveDivisor = 12
)

// Plan has the times of a shutdown.
type Plan struct {
	began time.Time
	total time.Duration
}

// NewPlan returns the plan of a shutdown that began at a time and may take total.
func NewPlan(began time.Time, total time.Duration) Plan { return Plan{began: began, total: total} }

// Began returns when the shutdown began.
func (p Plan) Began() time.Time { return p.began }

// DrainAt returns when the drain is announced to other nodes.
func (p Plan) DrainAt() time.Time {
	return p.began.Add(maxDrainDelay * p.acceptTime() / maxAcceptTime)
}

// RefuseAt returns from when on new requests are refused. At least half of the time is left to
// the requests that were accepted last.
func (p Plan) RefuseAt() time.Time { return p.began.Add(p.acceptTime()) }

func (p Plan) acceptTime() time.Duration { return min(maxAcceptTime, p.total/2) }

// FinishBy returns when the requests that are begun during the shutdown should have ended.
func (p Plan) FinishBy() time.Time { return p.CutAt().Add(-p.total / reserveDivisor) }

// CutAt returns when the requests that have not ended are broken off.
func (p Plan) CutAt() time.Time { return p.began.Add(p.total) }

// Kind is what a request is to the process that shuts down.
type Kind uint8

const (
	// CallerRequest is the request of a caller on this VM, whose answer this node passes on.
	CallerRequest Kind = iota
	// UpstreamRun is the run of a request at the upstream on this VM. The upstream makes its
	// calls through this node, and other upstreams can run the request as well.
	UpstreamRun
	// UpstreamCall is a call that the upstream on this VM makes for a request which it is
	// running. If it is refused, that request fails.
	UpstreamCall
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case UpstreamRun:
		return "upstream-run"
	case UpstreamCall:
		return "upstream-call"
	}
	return "caller-request"
}

// Quantile returns which quantile of the measured times of such requests is the expected time
// of one. A caller on this VM may have no other node to send its request to, so its request is
// refused only if it is more likely to be broken off than to end in time. A run is refused
// sooner, since another upstream takes it at no cost. A call must not be broken off at all.
func (k Kind) Quantile() float64 {
	if k == CallerRequest {
		return medianQuantile
	}
	return nearlyAllQuantile
}

const (
	medianQuantile    = 0.5
	nearlyAllQuantile = 0.99
)

// Work describes a request that is about to begin.
type Work struct {
	Kind Kind
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Expected is the time that the request is expected to take, 0 if it is not known.
	Expected time.Duration
}

// Verdict is the decision about a request.
type Verdict struct {
	Begin bool
	// Deadline is the one of the request, or an earlier one.
	Deadline time.Time
	Rule     Rule
}

// Rule is the reason for a Verdict, as one word.
type Rule string

// Values of Rule.
const (
	// Over: the time of the shutdown is over.
	Over Rule = "over"
	// DeadlineFirst: the request's deadline comes before the end of the shutdown.
	DeadlineFirst Rule = "deadline-first"
	// Early: a call is made while new requests are still accepted.
	Early Rule = "early"
	// Unmeasured: it is not known how long such requests take. They begin only while new
	// requests are still accepted.
	Unmeasured Rule = "unmeasured"
	// TooLong: the request is not expected to end in time.
	TooLong Rule = "too-long"
	// EndsInTime: the request is expected to end in time.
	EndsInTime Rule = "ends-in-time"
)

// Decide decides whether a request may begin. It depends on the time alone and not on a timer,
// which may be late on a busy machine or after the process was stopped.
//
// A call gets a deadline no later than the end of the shutdown, so that the upstream that works
// on it stops by itself, and no node breaks it off.
//
// Load pattern: the nodes of a service are restarted one after another while upstreams make
// several calls in a row for each request. Requests that began shortly before the restart lost
// their last calls, and calls that began shortly before its end were broken off.
func (p Plan) Decide(w Work, now time.Time) Verdict {
	refuse := func(r Rule) Verdict { return Verdict{Deadline: w.Deadline, Rule: r} }
	begin := func(r Rule) Verdict { return Verdict{Begin: true, Deadline: p.deadlineOf(w), Rule: r} }
	accepting := now.Before(p.RefuseAt())
	switch {
	case !now.Before(p.CutAt()):
		return refuse(Over)
	case !w.Deadline.After(p.CutAt()):
		return begin(DeadlineFirst)
	case w.Kind == UpstreamCall && accepting:
		return begin(Early)
	case w.Expected <= 0 && accepting:
		return begin(Unmeasured)
	case w.Expected <= 0:
		return refuse(Unmeasured)
	case now.Add(w.Expected).After(p.FinishBy()):
		return refuse(TooLong)
	}
	return begin(EndsInTime)
}

// deadlineOf returns the deadline of a request that begins.
func (p Plan) deadlineOf(w Work) time.Time {
	if w.Kind == UpstreamCall && w.Deadline.After(p.CutAt()) {
		return p.CutAt()
	}
	return w.Deadline
}
