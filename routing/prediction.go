package routing

// idleWeight is the part of the predicted end that does not depend on the calls
// at the target, in relation to the part of a target whose slots are all used.
// With it, a target of three times the usual work time, as slow as an outlier,
// gets calls from peers at a use of 0.6 only while it is nearly idle.
const idleWeight = 0.3

// relativeEnd returns the predicted end of a call at b as a ratio of the one at a,
// by their load reports: the work time at the target, which grows with the calls
// per slot that the call finds there. aTook and bTook are the work times of the
// call's profile, in microseconds; they count only if both are known.
//
// This is for many calling nodes with views of different ages. If targets with a
// free slot were chosen by work time alone, all nodes would fill the fastest one
// up to its last slot; by the calls per slot they leave it before.
func relativeEnd(a, b loadView, aTook, bTook int64) float64 {
	ratio := b.predictedEnd() / a.predictedEnd()
	if aTook > 0 && bTook > 0 {
		ratio *= float64(bTook) / float64(aTook)
	}
	return ratio
}

func (l loadView) predictedEnd() float64 {
	return float64(l.work) * (idleWeight + float64(l.used+1)/float64(l.slots))
}

// isCheaper reports whether b is clearly cheaper than a. If both report their
// load, the predicted ends count as much as the older of the two reports
// weighs, and the costs by this node's own measurements count for the rest.
func (c *choice) isCheaper(b, a *member) bool {
	aLoad, bLoad := a.stats.reported.load(c.at), b.stats.reported.load(c.at)
	weight := float64(min(aLoad.weight, bLoad.weight)) / thousand
	if weight == 0 {
		return c.cost(b) < replaceCostRatio*c.cost(a)
	}
	aTook, bTook := a.target.WorkTimes.forProfile(c.profile), b.target.WorkTimes.forProfile(c.profile)
	predicted := relativeEnd(aLoad, bLoad, aTook, bTook) * c.penalty(b) / c.penalty(a)
	return weight*predicted+(1-weight)*c.cost(b)/c.cost(a) < replaceCostRatio
}

// full reports whether a report that still counts shows no free slot.
func (l loadView) full() bool { return l.weight > 0 && l.used >= l.slots }
