package admission

import "time"

// Tuning of a pressure.
const (
	// pressureWindow is how often the pressure is set. It is well below the
	// time that a change takes to show, which is that of a whole request.
	pressureWindow = 100 * time.Millisecond
	// pressureAim is the offered load, as a share of the limit, that is aimed
	// at. What is above it only queues.
	pressureAim = 0.95
	// pressureRise and pressureFall are the part of the way to the wanted value
	// that one window goes, which evens out the arrivals of a window. The fall is
	// slower, since a crowd that waits to come back takes all that is given back
	// at once.
	pressureRise = 0.35
	pressureFall = 0.15
	// pressureWait is the mean queue wait from which the offered load, which is
	// an estimate, counts as too low, and pressureStep what such a window adds.
	pressureWait = 20 * time.Millisecond
	pressureStep = 0.02
	// pressureMost leaves some requests through, or nobody would learn that the
	// overload has passed.
	pressureMost = 0.97
)

// pressureLoad is what one window measured.
type pressureLoad struct {
	// offered is the work that would have arrived had no request been held back,
	// refused calls included, as a share of what the limit can serve.
	offered float64
	// refused counts calls that found no room.
	refused  int
	meanWait time.Duration
}

// pressure is the share of the requests that lead to an upstream which should
// not begin, 0 to 1. It is pure; its owner locks.
//
// Load pattern: one request makes many calls, and a deep upstream can't carry
// all of them. Refusing calls there fails nearly every request, each after
// most of its work: with eight calls of which one in ten is refused, 57 % of
// the requests fail. Fewer requests must begin, and then all of their calls run.
//
// What is asked for is told by what arrives: a call whose request was let in
// while a share of its like was held back stands for those as well. So it does
// not depend on when a change of the pressure shows.
//
// The failure: what arrived was set against the pressure of 0.4 s before. Requests
// make their calls over a second and more, so the two did not belong together; the
// pressure of the one upstream that was left of three went from 0 to 0.97 and back
// every two seconds, and three quarters of its time were not used.
type pressure struct{ value float64 }

func (p *pressure) update(w pressureLoad) {
	wanted := 0.0
	if w.offered > 0 {
		wanted = 1 - pressureAim/w.offered
	}
	switch {
	case wanted > p.value:
		p.value += pressureRise * (wanted - p.value)
	case w.refused > 0 || w.meanWait > pressureWait:
		p.value += pressureStep
	default:
		p.value += pressureFall * (max(wanted, 0) - p.value)
	}
	p.value = min(max(p.value, 0), pressureMost)
}
