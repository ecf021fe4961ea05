package admission

import "time"

// queueShare returns how long a call may wait in one queue: an equal part, for each of the
// upstreams that it may be sent to, of the time that is left beside its work. A call that
// waits for longer without result leaves the others no time. It is 0 or less if the work no
// longer fits.
//
// Load pattern: the queues of two upstreams are as long as the calls' deadlines. If a call
// waited in the first one for as long as its work fits, it would be refused with no time
// left for the second.
func queueShare(left, work time.Duration, upstreams int) time.Duration {
	return (left - work) / time.Duration(max(upstreams, 1))
}

// noLatestStart is the latest start of a call without a deadline.
const noLatestStart = time.Duration(1<<63 - 1)

// latestStart returns the time at which a call must start for its work to end before its
// deadline.
func (g *Gate) latestStart(r Request, work time.Duration) time.Duration {
	if r.Deadline.IsZero() {
		return noLatestStart
	}
	return r.Deadline.Sub(g.epoch) - work
}

// longWork returns the time that most calls of the profile take at most: the mean and a
// standard deviation. About half of the calls that start with the mean left would fail after
// their work was done. The gate's lock is held.
func (p *profileStats) longWork() time.Duration {
	return max(time.Duration(p.mean+p.deviation), time.Duration(p.service.Load()))
}
