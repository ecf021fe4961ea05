package node

import (
	"net/http"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
)

// Bounds of the gate where a dialect is spoken.
const (
	// slotShare keeps some slots free: upstreams become slower when nearly
	// full, and a new connection holds a slot for a moment.
	slotShare = 0.95
	// queueLimit only bounds memory: what would wait too long is refused as it
	// comes.
	queueLimit = 4096
	// maxQueueWait lets the profile's own wait bound the queue.
	maxQueueWait = 2 * time.Second
)

// refusePressed refuses a request of a caller that would meet an overloaded
// upstream further down. It returns nil to admit. Calls of the upstream are
// never refused here: their requests have work done.
func (n *Node) refusePressed(req *request) *answer {
	if req.call.Depth > 0 || n.settings.Ablate.NoFeedback {
		return nil
	}
	if n.busy(admission.NewRequest) {
		return n.refuse(call.NotRun, call.ReasonBusy, 0)
	}
	decision := n.shedder.Admit(req.call.Profile, req.call.Level, n.now())
	if decision.Admitted {
		req.call.HeldBack = int(decision.HeldBack * pressureUnit)
		return nil
	}
	a := n.refuse(call.NotRun, call.ReasonLevelBelow, 0)
	a.report.Worst = decision.InForce
	return a
}

// heardPressure keeps the pressure that an answer brought.
func (n *Node) heardPressure(req *request, a *answer) {
	if !n.spoken() || a.target == "" {
		return
	}
	told := float64(a.report.Pressure) / pressureUnit
	if req.call.Depth > 0 {
		n.below.Heard(req.call.Profile, told, n.now())
		return
	}
	n.shedder.Heard(req.call.Profile, told, n.now())
	if a.report.Outcome == call.Complete && a.status < http.StatusInternalServerError {
		n.shedder.HeardWork(req.call.Profile, a.report.Work)
	}
}

// workOf is how long a visit held slots of the upstream that its pressure comes
// from: its own time where that is the upstream here, else what its calls told.
// It is 0 where nothing is short.
func (n *Node) workOf(v *visit) int {
	if below := v.workedBelow(); below > 0 && n.gate.Pressure() < n.pressureOf(v.call.Profile) {
		return below
	}
	if n.gate.Pressure() == 0 {
		return 0
	}
	return int(n.now().Sub(v.started).Milliseconds())
}

const pressureUnit = 1000

// pressureOf is the pressure on requests of a profile that lead to the upstream
// here: its own, or that on the calls which their runs make, whichever is more.
//
// Of the calls to one service it is what they meet on average. The failure: told
// was the highest of all calls of a run, so with five calls to a service of 47
// upstreams, on which the mean was 185 thousandths, roots heard of 397 and refused
// twice as many requests as had to go.
func (n *Node) pressureOf(profile string) int {
	most := n.gate.Pressure()
	now := n.now()
	for _, called := range n.graph.Linked(profile) {
		most = max(most, int(n.below.Pressure(called, now)*pressureUnit))
	}
	return most
}
