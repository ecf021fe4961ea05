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
	// trimRefused is the share of the calls that may find no room, and trimWeight
	// the weight of a window in it. With eight calls a request, one in a hundred
	// fails 8 % of the requests.
	trimRefused = 0.01
	trimWeight  = 0.2
	// trimStep is what a window with more takes from the aim, and trimBack what one
	// with less gives back: a fault of the estimate is made up for in a second, and
	// probed for in ten.
	trimStep = 0.02
	trimBack = 0.004
	// trimAfter is how many windows the pressure must have been about what is
	// wanted, less trimNear: requests that began before make their calls for about
	// a second, and those calls find no room whatever the aim is now.
	trimAfter = 10
	trimNear  = 0.03
	// trimLeast bounds what is taken, since short bursts find no room at any load.
	//
	// The failure: each window with a refusal added to the pressure, without an end.
	// An upstream of 17 slots that was asked for three times what it carries refuses
	// some calls in most windows, and its pressure stood at 0.97, where 0.71 was
	// wanted.
	trimLeast = 0.75
	// pressureMost leaves some requests through, or nobody would learn that the
	// overload has passed.
	pressureMost = 0.97
)

// pressureLoad is what one window measured.
type pressureLoad struct {
	// offered is the work that would have arrived had no request been held back,
	// refused calls included, as a share of what the limit can serve.
	offered float64
	// arrived counts calls, and refused those of them that found no room.
	arrived, refused int
	// meanWait is that of the calls that waited, meanService that of all.
	meanWait, meanService time.Duration
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
type pressure struct {
	value float64
	// taken is what is taken from the aim, as a share of it, and refused the
	// smoothed share of calls that found no room.
	taken, refused float64
	// settled counts the windows in which value was about what is wanted.
	settled int
}

func (p *pressure) update(w pressureLoad) {
	p.trim(w)
	wanted := 0.0
	if w.offered > 0 {
		wanted = 1 - pressureAim*(1-p.taken)/w.offered
	}
	p.settled++
	if wanted > p.value+trimNear {
		p.settled = 0
	}
	step := pressureFall
	if wanted > p.value {
		step = pressureRise
	}
	p.value += step * (wanted - p.value)
	p.value = min(max(p.value, 0), pressureMost)
}

// trim lowers the aim while calls find no room, or wait for as long as they are
// served: the offered load is an estimate, and calls come in bursts.
func (p *pressure) trim(w pressureLoad) {
	if w.arrived > 0 {
		p.refused += trimWeight * (float64(w.refused)/float64(w.arrived) - p.refused)
	}
	if p.settled < trimAfter {
		return
	}
	if p.refused > trimRefused || (w.meanWait > w.meanService && w.meanService > 0) {
		p.taken = min(p.taken+trimStep, 1-trimLeast)
		return
	}
	p.taken = max(p.taken-trimBack, 0)
}
