package node

import "time"

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
// as a metric and used in no decision: it changes many times a second, and is older than
// what the gate counts itself.
func (n *Node) noteUpstreamLoad(a UpstreamAnswer) {
	if a.MalformedLoad {
		n.metrics.Malformed.With(malformedLoad).Inc(1)
	}
	if a.Load != (UpstreamLoad{}) {
		n.reportedLoad.Store(&receivedLoad{UpstreamLoad: a.Load, at: n.now()})
	}
}

// maxLoadAge is the age up to which a reported load is exported.
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
