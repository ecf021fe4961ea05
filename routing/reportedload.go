package routing

import (
	"sync/atomic"

	"pollengauge.dev/call"
)

const (
	// fullWeightMillis is the age in milliseconds up to which a load report has
	// its full weight. It is about the work time of a short call, in which a
	// target replaces most of its running calls at the earliest.
	fullWeightMillis = 50
	// maxReportMillis is the age in milliseconds from which a report has no
	// weight. Slowdowns last 600 ms, so an older report likely describes a state
	// that has ended.
	maxReportMillis = 500
	// distrustMillis is how long a contradicted target is not believed, in
	// milliseconds. It is the time after which refusals and failures are
	// forgotten too.
	distrustMillis = decayMillis
)

// reportedLoad holds the latest load report of a target. Readers take no lock.
// The two words may be read from two successive reports; the figures that
// describe the queue are in one word.
type reportedLoad struct {
	// queue holds used, in the low figureBits bits, and slots.
	queue atomic.Uint64
	// stamp holds work, in the low figureBits bits, and the time of the report in
	// milliseconds. It is 0 without a report.
	stamp atomic.Uint64
	// sent counts this node's calls to the target since the report.
	sent atomic.Int64
	// distrustedUntil is a time in milliseconds, 0 if the target is believed.
	distrustedUntil atomic.Int64
	// latencyRatio is the mean ratio of measured to predicted latency, in
	// thousandths; 0 until the first call.
	latencyRatio atomic.Int64
}

const (
	figureBits = 20
	figureMask = 1<<figureBits - 1
)

// loadView is what a report states at one moment.
type loadView struct {
	// used is the calls that run or wait at the target, including those sent since
	// the report.
	used, slots, work int64
	// weight is the weight of the report by its age, in thousandths. It is 0 if
	// there is no report, or if it is too old or not believed.
	weight int64
}

// IgnoredLoad is the reason why a load report was not used.
type IgnoredLoad int

// Values of IgnoredLoad.
const (
	// LoadMalformed: a figure could not be read or is beyond its limit.
	LoadMalformed IgnoredLoad = iota
	// LoadOld: the report was too old when it arrived, or older than the one held.
	LoadOld
	// LoadContradicted: this node's own measurements contradicted the reports of
	// the target.
	LoadContradicted
	ignoredReasons
)

var ignoredNames = [ignoredReasons]string{"malformed", "old", "contradicted"}

// String returns the name used in metrics.
func (i IgnoredLoad) String() string { return ignoredNames[i] }

// loadCounts counts ignored reports by reason.
type loadCounts [ignoredReasons]atomic.Uint64

// IgnoredLoads returns how many reports were ignored for a reason.
func (r *Router) IgnoredLoads(reason IgnoredLoad) uint64 { return r.ignoredLoads[reason].Load() }

// store keeps a report that arrived at the time at, in milliseconds. ownLoad is
// the load that the target's node states for itself, in thousandths of its
// limit. The queue of that node is not in the upstream's report, and the node's
// limit may be below the upstream's slots. So the higher of the two loads
// counts.
func (m *reportedLoad) store(l call.TargetLoad, ownLoad int, at int64, counts *loadCounts) {
	if l.IsZero() {
		return
	}
	if !l.Valid() {
		counts[LoadMalformed].Add(1)
		return
	}
	stated := at - int64(l.Age)
	if l.Age >= maxReportMillis || stated < int64(m.stamp.Load()>>figureBits) {
		counts[LoadOld].Add(1)
		return
	}
	if m.distrusted(at) {
		counts[LoadContradicted].Add(1)
	}
	used := max(int64(l.Running)+int64(l.Waiting), int64(ownLoad)*int64(l.Slots)/thousand)
	m.queue.Store(uint64(l.Slots)<<figureBits | uint64(min(used, figureMask)))
	m.stamp.Store(uint64(max(stated, 1))<<figureBits | uint64(l.Work))
	m.sent.Store(0)
}

// load returns the report as of the time at, in milliseconds.
func (m *reportedLoad) load(at int64) loadView {
	stamp := m.stamp.Load()
	if stamp == 0 {
		return loadView{}
	}
	queue, sent := m.queue.Load(), m.sent.Load()
	v := loadView{
		used:  int64(queue&figureMask) + sent,
		slots: int64(queue >> figureBits),
		work:  int64(stamp & figureMask),
		// Calls without a response may have stalled, which the report can't show.
		weight: reportWeight(at-int64(stamp>>figureBits)) / max(sent, 1),
	}
	if m.distrusted(at) {
		v.weight = 0
	}
	return v
}

// reportWeight returns the weight of a report by its age, in thousandths.
func reportWeight(age int64) int64 {
	if age < 0 {
		// The clock was set back.
		return 0
	}
	return min(max((maxReportMillis-age)*thousand/(maxReportMillis-fullWeightMillis), 0), thousand)
}

func (m *reportedLoad) distrusted(at int64) bool {
	left := m.distrustedUntil.Load() - at
	return left > 0 && left <= distrustMillis
}

// LoadBelief is whether the load report of a target is used, for display.
type LoadBelief string

// Values of LoadBelief.
const (
	// LoadNone: the target reports no load.
	LoadNone LoadBelief = ""
	// LoadBelieved: the report is used.
	LoadBelieved LoadBelief = "believed"
	// LoadStale: the report is too old to be used.
	LoadStale LoadBelief = "old"
	// LoadDistrusted: this node's own measurements contradicted the reports.
	LoadDistrusted LoadBelief = "contradicted"
)

// state returns the report for display. Calls that the slots have no room for are
// shown as waiting.
func (m *reportedLoad) state(at int64) (call.TargetLoad, LoadBelief) {
	stamp, queue := m.stamp.Load(), m.queue.Load()
	if stamp == 0 {
		return call.TargetLoad{}, LoadNone
	}
	used, slots := int(queue&figureMask), int(queue>>figureBits)
	l := call.TargetLoad{
		Running: min(used, slots),
		Waiting: max(used-slots, 0),
		Slots:   slots,
		Work:    int(stamp & figureMask),
		Age:     int(max(at-int64(stamp>>figureBits), 0)),
	}
	switch {
	case m.distrusted(at):
		return l, LoadDistrusted
	case l.Age >= maxReportMillis:
		return l, LoadStale
	}
	return l, LoadBelieved
}
