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
	// pressureDelay is how many windows a change takes to show: answers bring
	// it up to the roots, and a request makes its last calls some 0.3 s later.
	pressureDelay = 4
	// pressureRise and pressureFall are the part of the way to the wanted value
	// that one window goes. A request lives for about three windows, so faster
	// ones swing; the fall is slower, since a crowd that waits to come back
	// takes all that is given back at once.
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
	// offered is the work that arrived, refused calls included, as a share of
	// what the limit can serve.
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
// What arrives is what the roots let begin, the share 1 - value of what they
// were asked for. From it follows what would arrive without pressure, and from
// that the share that fits.
//
// A change shows in the arrivals only once the requests that had begun before
// are through, so they are set against the value of that time. Set against the
// present one, each window of a surge would add as much again, and nearly all
// requests would be refused before the first effect was seen.
type pressure struct {
	value float64
	// earlier are the values of the last windows, the latest first.
	earlier [pressureDelay]float64
}

func (p *pressure) update(w pressureLoad) {
	wanted := 0.0
	if w.offered > 0 {
		wanted = 1 - (1-p.earlier[pressureDelay-1])*pressureAim/w.offered
	}
	copy(p.earlier[1:], p.earlier[:])
	p.earlier[0] = p.value
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
