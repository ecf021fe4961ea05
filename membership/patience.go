package membership

import "time"

const (
	// maxTimeoutFactor is the maximum probe timeout in multiples of ProbeTimeout. An
	// overload delays the detection of a dead member by the same factor.
	maxTimeoutFactor = 4
	// lateAnswerFactor is the timeout of the following probes in multiples of the slowest
	// late answer.
	lateAnswerFactor = 2
	// timeoutDecayDivisor divides the extra timeout into the part that one prompt answer
	// takes away: at two answers a second half of it is gone after 3 s.
	timeoutDecayDivisor = 8
	// lateLegs * ProbeTimeout is the total time for which an answer is awaited. It is
	// above the longest wait, and long enough that a connection that is opened in an
	// overload gets its first answer before it is considered broken: opening the next one
	// costs more than the answer.
	lateLegs = 10
	// meanWeight is the weight of past answers in the moving average of answer times.
	meanWeight = 7
)

// timeouts adapts the probe timeout (wait), which is at least Config.ProbeTimeout
// (least), to the time that answers take; mean is their moving average. Only answers
// change it: a member that is dead or unreachable doesn't lengthen the timeout, but a
// member that answers late does, since it is alive and short of processors, as this
// process itself may be.
//
// With a fixed timeout, exchanges took longer than ProbeTimeout for some seconds. Each
// was given up, probed again through others and raised a suspicion, which cost
// more than answering, so that all later answers were late as well. The fleet never left
// this state, although at rest it needed only a tenth of its processors.
type timeouts struct {
	least time.Duration
	wait  time.Duration
	mean  time.Duration
}

func newTimeouts(least time.Duration) timeouts { return timeouts{least: least, wait: least} }

// observe records the duration of one answered exchange.
func (p *timeouts) observe(took time.Duration) {
	p.mean = (p.mean*meanWeight + took) / (meanWeight + 1)
	p.wait -= (p.wait - p.least) / timeoutDecayDivisor
	p.wait = min(max(p.wait, lateAnswerFactor*took), maxTimeoutFactor*p.least)
}

// lateLimit returns the total time for which an answer is awaited. An answer that arrives
// after its probe was given up still shows that the member is alive. A connection on
// which nothing arrives for longer is closed.
func (p timeouts) lateLimit() time.Duration {
	return lateLegs * p.least
}

// stretch extends the duration of a suspicion in proportion to the current timeout,
// because the suspect may answer as late as other members do.
func (p timeouts) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(p.wait) / float64(p.least))
}
