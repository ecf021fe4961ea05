package node

import (
	"time"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
	"pollengauge.dev/routing"
)

// UpstreamLoad is the load that the upstream reported in a response. The zero value means
// that it reported none.
type UpstreamLoad struct {
	// Running and Waiting count the requests that the upstream works on and those in its
	// own queue, of Slots that it can work on at once.
	Running, Waiting, Slots int
	// WorkTime is how long work takes on the upstream's machine at that moment, as a
	// multiple of the usual time.
	WorkTime float64
}

// receivedLoad is the latest reported load and the time at which it was received.
type receivedLoad struct {
	UpstreamLoad
	at time.Time
}

// malformedLoad is the label of responses with a load that could not be read.
const malformedLoad = "upstream-load"

// noteUpstreamLoad records the load in a response of the upstream. The load is exported
// as a metric and passed on to the nodes that call the upstream. It is used in no
// decision here: it is older than what the gate counts itself.
func (n *Node) noteUpstreamLoad(a UpstreamAnswer) {
	if a.MalformedLoad {
		n.metrics.Malformed.With(malformedLoad).Inc(1)
	}
	if up := n.upstream.Load(); up != nil && up.Instance != "" && a.Instance != "" && a.Instance != up.Instance {
		if a.Load != (UpstreamLoad{}) {
			n.metrics.TargetLoadIgnored.With(loadOfOtherInstance).Inc(1)
		}
		return
	}
	if a.Load != (UpstreamLoad{}) {
		n.reportedLoad.Store(&receivedLoad{UpstreamLoad: a.Load, at: n.now()})
	}
}

// loadOfOtherInstance is the label of loads that another incarnation of the upstream
// reported.
const loadOfOtherInstance = "other-instance"

// maxLoadAge is the age up to which a reported load is exported and passed on.
const maxLoadAge = 10 * time.Second

// updateUpstreamLoad copies the reported load into the metrics: zeros if it is too old.
func (n *Node) updateUpstreamLoad() {
	var load UpstreamLoad
	if received := n.reportedLoad.Load(); received != nil && n.now().Sub(received.at) <= maxLoadAge {
		load = received.UpstreamLoad
	}
	n.metrics.UpstreamReported.With("running").Update(float64(load.Running))
	n.metrics.UpstreamReported.With("waiting").Update(float64(load.Waiting))
	n.metrics.UpstreamReported.With("slots").Update(float64(load.Slots))
	n.metrics.UpstreamReported.With("work-time").Update(load.WorkTime)
	n.metrics.UpstreamReported.With("limit").Update(n.namedLimit())
}

// targetLoad returns the last load that the upstream reported, for the nodes that call
// it. It is zero if there is none, if it is too old, or if it is beyond the limits.
func (n *Node) targetLoad() call.TargetLoad {
	received := n.reportedLoad.Load()
	if received == nil {
		return call.TargetLoad{}
	}
	age := max(n.now().Sub(received.at), 0)
	l := call.TargetLoad{
		Running: received.Running,
		Waiting: received.Waiting,
		Slots:   received.Slots,
		Work:    int(received.WorkTime*call.UsualWork + 0.5),
		Age:     int(age.Milliseconds()),
	}
	if age > maxLoadAge || !l.Valid() {
		return call.TargetLoad{}
	}
	return l
}

// targetStatuses returns the reported load of the targets that this node uses.
func (n *Node) targetStatuses() (list []observe.TargetStatus) {
	for _, service := range n.router.Services() {
		for _, t := range n.router.Snapshot(service) {
			if t.InSubset && t.Belief != routing.LoadNone {
				list = append(list, observe.TargetStatus{
					Service: service,
					Node:    t.ID,
					Zone:    t.Zone,
					Running: t.Reported.Running,
					Waiting: t.Reported.Waiting,
					Slots:   t.Reported.Slots,
					Work:    t.Reported.Work,
					AgeMs:   t.Reported.Age,
					Belief:  string(t.Belief),
				})
			}
		}
	}
	return list
}

// loadBeliefs counts the targets of a service by belief, and sums the ages of the
// believed reports.
type loadBeliefs struct {
	targets map[routing.LoadBelief]int64
	ageMs   int
}

func (b *loadBeliefs) add(t *routing.TargetState) {
	if !t.InSubset {
		return
	}
	if b.targets == nil {
		b.targets = make(map[routing.LoadBelief]int64)
	}
	b.targets[t.Belief]++
	if t.Belief == routing.LoadBelieved {
		b.ageMs += t.Reported.Age
	}
}

// export copies the counts into the metrics.
func (b *loadBeliefs) export(m *observe.Metrics, service string) {
	for _, belief := range [...]routing.LoadBelief{routing.LoadBelieved, routing.LoadStale, routing.LoadDistrusted} {
		m.TargetLoadTargets.With(service, string(belief)).Update(b.targets[belief])
	}
	believed := max(b.targets[routing.LoadBelieved], 1)
	m.TargetLoadAge.With(service).Update(float64(b.ageMs) / float64(believed) / loadUnit)
}

// updateIgnoredLoads copies the counts of ignored reports into the metrics.
func (n *Node) updateIgnoredLoads() {
	for _, reason := range [...]routing.IgnoredLoad{routing.LoadMalformed, routing.LoadOld, routing.LoadContradicted} {
		setCounter(n.metrics.TargetLoadIgnored.With(reason.String()), n.router.IgnoredLoads(reason))
	}
}
