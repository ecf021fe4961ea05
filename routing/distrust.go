package routing

import "slices"

const (
	// maxLatencyRatio is the mean ratio of measured to predicted latency, in
	// thousandths, from which a target that reports free slots is not believed.
	maxLatencyRatio = 2 * thousand
	// latencyRatioCap bounds the ratio of one call. A single call may be far
	// longer than others of its profile.
	latencyRatioCap = 4 * thousand
	// latencyRatioDivisor is the divisor of the moving average of the ratio. With
	// it, a target that takes three times as long as predicted is found after 11
	// calls, and long calls of targets that announce no work times seldom reach
	// the bound by chance.
	latencyRatioDivisor = 16
	// retriedLatencyRatio is the mean ratio with which a target is believed again.
	// It is above the usual one, so that further false reports are found sooner.
	retriedLatencyRatio = maxLatencyRatio * 3 / 4
)

// predictedLatency returns the latency in microseconds that a call should have
// at a target that reports a free slot, 0 if there is no prediction. It is the
// higher of two: the median latency of the targets, which contains the time in
// which upstreams wait for their own calls, and the work time of the profile,
// without which a few long calls would contradict the reports of any target.
func (c *choice) predictedLatency(candidate *member) int64 {
	l := candidate.stats.reported.load(c.at)
	if l.weight == 0 || l.used >= l.slots {
		return 0
	}
	if c.typical == 0 {
		return 0
	}
	usual := max(c.typical*candidate.relativeWork/thousand, candidate.target.WorkTimes.forProfile(c.profile))
	return usual * max(l.work, thousand) / thousand
}

// compareLatency compares the latency of a call to the prediction. If on average
// calls take more than maxLatencyRatio although the target reports free slots
// before and after them, it is not believed for distrustMillis. Updates that
// concurrent calls lose cost one sample each.
func (m *reportedLoad) compareLatency(took, predicted, at int64) {
	l := m.load(at)
	if predicted == 0 || l.weight == 0 || l.used >= l.slots {
		return
	}
	ratio := min(took*thousand/predicted, latencyRatioCap)
	mean := m.latencyRatio.Load()
	if mean == 0 {
		mean = thousand
	}
	mean += (ratio - mean) / latencyRatioDivisor
	if mean > maxLatencyRatio {
		mean = retriedLatencyRatio
		m.distrustedUntil.Store(at + distrustMillis)
	}
	m.latencyRatio.Store(mean)
}

// setRelativeWork sets the work time of each member in relation to the median of
// all members, as the mean over the profiles that it announces.
func setRelativeWork(members []*member) {
	medians := make(map[uint32]int64)
	for _, m := range members {
		for _, one := range m.target.WorkTimes {
			if one.Profile != 0 {
				medians[one.Profile] = 0
			}
		}
	}
	for profile := range medians {
		var times []int64
		for _, m := range members {
			if took := m.target.WorkTimes.forProfile(profile); took > 0 {
				times = append(times, took)
			}
		}
		slices.Sort(times)
		medians[profile] = times[len(times)/2]
	}
	for _, m := range members {
		var sum, n int64
		for _, one := range m.target.WorkTimes {
			if one.Micros > 0 && one.Profile != 0 {
				sum += int64(one.Micros) * thousand / max(medians[one.Profile], 1)
				n++
			}
		}
		m.relativeWork = thousand
		if n > 0 {
			m.relativeWork = max(sum/n, 1)
		}
	}
}
