package routing

const (
	// failedWeight and refusedWeight are how much dearer a target gets when
	// all its recent calls failed or were refused.
	failedWeight  = 20
	refusedWeight = 10
	// avoidShare is the refused share, in thousandths, at which all calls
	// leave the zone, and spillRange is how far above SpillLoad the load is
	// when they all do.
	avoidShare = 500
	spillRange = 100
	// margin is how much cheaper the second draw must be. Without it noise in
	// the averages alone would send all calls of a quiet service to one target.
	margin = 0.8
	// unmeasured is the latency, in microseconds, of a target whose peers
	// have not been measured either.
	unmeasured = 1000
)

// pressure is the chance, in thousandths, that a call should go elsewhere: as
// the load goes from SpillLoad to full, as refusals and failures become
// usual, and, with cold set, as long as slow start lasts.
//
// A chance, not a threshold: with a threshold all nodes of a zone leave it
// together and come back together, and when the whole region is nearly full
// that refuses twice as many calls.
func (c *choice) pressure(candidate *member, cold bool) int64 {
	m := candidate.measure
	over := (c.load(candidate) - int64(c.config.SpillLoad)) * thousand / spillRange
	refused := m.refused.load(c.at, decayMillis) * thousand / avoidShare
	failed := m.failed.load(c.at, decayMillis) * thousand / failedShare
	pressure := max(over, refused, failed)
	if cold {
		pressure = max(pressure, thousand-m.share(c.at, c.config))
	}
	return min(max(pressure, 0), thousand)
}

// cheaper returns a, unless b is clearly cheaper; either may be nil.
func (c *choice) cheaper(a, b *member) *member {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case c.cost(b) < margin*c.cost(a):
		return b
	}
	return a
}

// load returns the higher of what this node has in flight and what the
// target reports, in thousandths of its slots. The report lags or misleads,
// so it can only turn calls away.
func (c *choice) load(candidate *member) int64 {
	own := candidate.measure.inFlight.Load() * thousand / slots(candidate)
	return max(own, candidate.measure.load.load(c.at, decayMillis))
}

func slots(candidate *member) int64 { return int64(max(candidate.target.Slots, 1)) }

// cost is the time that a call is likely to take: the measured latency times
// the calls already there for each slot, dearer by recent failures and
// refusals and by the reported load.
func (c *choice) cost(candidate *member) float64 {
	m := candidate.measure
	latency := m.decayedLatency(c.typical, c.at)
	if latency == 0 {
		latency = unmeasured
	}
	queue := float64(m.inFlight.Load()+1) / float64(slots(candidate))
	failed := float64(m.failed.load(c.at, decayMillis)) / thousand
	refused := float64(m.refused.load(c.at, decayMillis)) / thousand
	hint := float64(m.load.load(c.at, decayMillis)) / thousand
	return float64(latency) * queue * (1 + hint) * (1 + failedWeight*failed + refusedWeight*refused)
}
