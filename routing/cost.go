package routing

const (
	// failedWeight and refusedWeight are the amounts added to a target's cost
	// factor when all its recent calls failed or were refused.
	failedWeight  = 20
	refusedWeight = 10
	// fullSpillRefusedShare is the refused share, in thousandths, at which all
	// calls leave the zone. fullSpillExcess is the excess over SpillLoad, in
	// thousandths, at which all calls leave it.
	fullSpillRefusedShare = 500
	fullSpillExcess       = 100
	// replaceCostRatio is the cost ratio below which the second target drawn
	// replaces the first. Without it, noise in the averages alone would send
	// all calls of a quiet service to one target.
	replaceCostRatio = 0.8
	// defaultLatencyMicros is the latency assumed for a target when neither it
	// nor its peers have been measured.
	defaultLatencyMicros = 1000
)

// pressure returns the probability, in thousandths, that a call should go to
// another zone. It rises as the load goes from SpillLoad to full and as the
// shares of refusals and failures grow and, with cold set, is raised during
// slow start.
//
// A probability is used instead of a threshold because with a threshold all
// nodes of a zone leave it together and come back together, which refuses twice
// as many calls when the whole region is nearly full.
func (c *choice) pressure(candidate *member, cold bool) int64 {
	over := (c.load(candidate) - int64(c.config.SpillLoad)) * thousand / fullSpillExcess
	return min(max(over, c.strain(candidate, cold)), thousand)
}

// strain is the part of the pressure that does not depend on the load.
func (c *choice) strain(candidate *member, cold bool) int64 {
	m := candidate.stats
	refused := m.refused.load(c.at, decayMillis) * thousand / fullSpillRefusedShare
	failed := m.failed.load(c.at, decayMillis) * thousand / failingShare
	pressure := max(refused, failed)
	if cold {
		pressure = max(pressure, thousand-m.slowStartShare(c.at, c.config))
	}
	return min(max(pressure, 0), thousand)
}

// cheaper returns a, unless b is clearly cheaper. Either may be nil.
func (c *choice) cheaper(a, b *member) *member {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case c.isCheaper(b, a):
		return b
	}
	return a
}

// load returns the higher of the target's load from this node's calls in flight
// and the load that the target reports, in thousandths of its slots. The report
// may be late or wrong, so it is only used to send fewer calls to the target.
func (c *choice) load(candidate *member) int64 {
	own := candidate.stats.inFlight.Load() * thousand / slots(candidate)
	return max(own, candidate.stats.load.load(c.at, decayMillis))
}

func slots(candidate *member) int64 { return int64(max(candidate.target.Slots, 1)) }

// cost returns the expected duration of a call: the measured latency times the
// calls in flight for each slot, increased by recent failures and refusals and
// by the reported load.
func (c *choice) cost(candidate *member) float64 {
	m := candidate.stats
	latency := m.decayedLatency(c.typical, c.at)
	if latency == 0 {
		latency = defaultLatencyMicros
	}
	queue := float64(m.inFlight.Load()+1) / float64(slots(candidate))
	hint := float64(m.load.load(c.at, decayMillis)) / thousand
	return float64(latency) * queue * (1 + hint) * c.penalty(candidate)
}

// penalty returns the factor by which recent failures and refusals raise the cost
// of a target.
func (c *choice) penalty(candidate *member) float64 {
	m := candidate.stats
	failed := float64(m.failed.load(c.at, decayMillis)) / thousand
	refused := float64(m.refused.load(c.at, decayMillis)) / thousand
	return 1 + failedWeight*failed + refusedWeight*refused
}
