package node

import (
	"net/http"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// Limits of the gate where a dialect is used.
const (
	// slotShare is the share of the slots that is used. Some stay free because
	// upstreams become slower when nearly full, and a new connection occupies a slot
	// for a moment.
	slotShare = 0.95
	// queueLimit only bounds memory: a request that would wait too long is refused on
	// arrival.
	queueLimit = 4096
	// maxQueueWait leaves it to the deadline and the profile's own maximum wait to bound
	// the queue.
	maxQueueWait = time.Duration(config.MaxDeadline)
)

// refuseOverloaded refuses a root request that leads to an overloaded upstream. It
// returns nil to admit. Calls made by the upstream are never refused here, because work
// has already been done for their requests.
func (n *Node) refuseOverloaded(req *request) *answer {
	if req.call.Depth > 0 || n.settings.Ablate.NoFeedback {
		return nil
	}
	if n.busy(admission.NewRequest) {
		return n.refuse(call.NotRun, call.ReasonBusy, 0)
	}
	decision := n.shedder.Admit(req.call.Profile, req.call.Level, n.now())
	if decision.Admitted {
		req.call.RefusedShare = int(decision.RefusedShare * pressureUnit)
		return nil
	}
	n.noteRefusedByShare(req)
	a := n.refuse(call.NotRun, call.ReasonLevelBelow, 0)
	a.report.HighestAdmitLevel = decision.MinLevel
	return a
}

// recordPressure records the downstream pressure and the slot time that an answer reported.
func (n *Node) recordPressure(req *request, a *answer) {
	if !n.usesDialect() || a.target == "" {
		return
	}
	reported := float64(a.report.Pressure) / pressureUnit
	if req.call.Depth > 0 {
		n.downstreamShedder.ObservePressure(req.call.Profile, reported, n.now())
		return
	}
	n.shedder.ObservePressure(req.call.Profile, reported, n.now())
	if a.report.Outcome == call.Complete && a.status < http.StatusInternalServerError {
		n.shedder.ObserveWork(req.call.Profile, a.report.Work)
	}
	n.noteSlotTime(req, a)
}

// slotTimeOf returns how long, in milliseconds, a visit occupied slots of the
// upstream that its pressure comes from: the visit's own time if that is the upstream
// here, else the work that its downstream calls reported. It returns 0 if there is no
// pressure.
func (n *Node) slotTimeOf(v *visit) int {
	if downstream := v.downstreamWork(); downstream > 0 && n.gate.Pressure() < n.pressureOf(v.call.Profile) {
		return downstream
	}
	if n.gate.Pressure() == 0 {
		return 0
	}
	return int(n.now().Sub(v.started).Milliseconds())
}

const pressureUnit = 1000

// pressureOf returns the pressure on the requests of a profile that run at the
// upstream here, in thousandths: the higher of the upstream's own and that of the
// calls which these runs make.
//
// For the calls to one service the pressure is their average. With the maximum over
// all calls of a run, five calls to a service of 47 upstreams whose mean pressure was
// 185 thousandths reported 397 to the roots, which then refused twice as many
// requests as necessary.
func (n *Node) pressureOf(profile string) int {
	highest := n.gate.Pressure()
	now := n.now()
	for _, called := range n.graph.CallKinds(profile) {
		highest = max(highest, int(n.downstreamShedder.Pressure(called, now)*pressureUnit))
	}
	return highest
}
