package node

import (
	"time"

	"pollengauge.dev/incarnation"
	"pollengauge.dev/observe"
)

// maxDrainTime is how long after the departure of an incarnation was recorded calls may
// still be sent to it.
const maxDrainTime = 2 * drainSpreadTime

// recordDeparture logs the first report of a departure. The caller
// holds announceMu.
func (n *Node) recordDeparture(id incarnation.ID, report string) {
	n.log.Emit(observe.UpstreamDeparted, append(incarnationFields(id), observe.Str("report", report))...)
	if up := n.upstream.Load(); up != nil && up.id() == id {
		up.incarnation.markDeparted(n.incarnations.LeftAt(id))
	}
}

// markDeparted records when the incarnation reported that it leaves. The zero time changes
// nothing.
func (l *upstreamIncarnation) markDeparted(at time.Time) {
	if !at.IsZero() {
		l.departedAt.CompareAndSwap(nil, &at)
	}
}

// checkDeparture counts and logs a call that is sent to an incarnation of the upstream later
// than maxDrainTime after its departure.
func (n *Node) checkDeparture(up *upstream) {
	at := up.incarnation.departedAt.Load()
	if at == nil {
		return
	}
	if after := n.now().Sub(*at); after > maxDrainTime {
		n.metrics.CallsAfterDeparture.Inc(1)
		n.log.Emit(observe.CallAfterDeparture, append(incarnationFields(up.id()), observe.Dur("after", after))...)
	}
}
