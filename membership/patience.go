package membership

import "time"

const (
	// patienceMost is the maximum probe timeout in multiples of ProbeTimeout. It also
	// bounds by how much an overload delays the detection of a dead member.
	patienceMost = 4
	// patienceMargin is the timeout of the following probes in multiples of the slowest
	// late answer.
	patienceMargin = 2
	// patienceDecay is the divisor of the extra timeout: each prompt answer removes
	// 1/patienceDecay of it. At two answers a second, half of it is gone after 3 s.
	patienceDecay = 8
	// lateLegs * ProbeTimeout is the total time for which an answer is awaited. It is
	// above the longest probe timeout, and long enough for the first answer on a
	// connection that was opened during an overload: closing that connection early and
	// opening another costs more than the answer.
	lateLegs = 10
	// usualWeight is the weight of past answers in the moving average of answer times.
	usualWeight = 7
)

// patience adapts the probe timeout to the time that answers take. Only answers change
// it: dead and unreachable members don't raise the timeout, but members that answer late
// do, since they are alive and short of CPU, as this process may be itself.
//
// With a fixed timeout, exchanges that took longer than ProbeTimeout for some seconds led
// to a lasting overload. Each was given up, repeated through other members and turned
// into a suspicion. That cost more than answering, so all later answers were late as
// well. The fleet never left this state, although at rest it needed a tenth of its CPU
// capacity.
type patience struct {
	least time.Duration
	wait  time.Duration
	usual time.Duration
}

func newPatience(least time.Duration) patience { return patience{least: least, wait: least} }

// answered records the duration of one answered exchange.
func (p *patience) answered(took time.Duration) {
	p.usual = (p.usual*usualWeight + took) / (usualWeight + 1)
	p.wait -= (p.wait - p.least) / patienceDecay
	p.wait = min(max(p.wait, patienceMargin*took), patienceMost*p.least)
}

// late returns the total time for which an answer is awaited. An answer that arrives
// after its probe was given up still proves that the peer is alive. A connection that is
// silent for longer is closed.
func (p patience) late() time.Duration {
	return lateLegs * p.least
}

// stretch extends the duration of a suspicion in proportion to the current timeout,
// because the suspect may answer as late as other members do.
func (p patience) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(p.wait) / float64(p.least))
}
