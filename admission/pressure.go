package admission

import "time"

// Parameters of pressure.
const (
	// PressureWindow is the interval at which the pressure is updated. It is
	// well below the time until a change takes effect, which is the duration of
	// a complete request.
	PressureWindow = 100 * time.Millisecond
	// pressureTargetLoad is the target for the offered load, as a share of the
	// limit. Load above it only queues.
	pressureTargetLoad = 0.95
	// pressureRise and pressureFall are the part of the distance to the wanted
	// value that the pressure moves in one window, which smooths the arrivals
	// of a window. The fall is slower, because many callers that are waiting to
	// retry would take up all the returned capacity at once.
	pressureRise = 0.35
	pressureFall = 0.15
	// trimRefusedShare is the share of calls that may find no free capacity, and
	// trimWeight is the weight of a window in that share. With eight calls in a
	// request, one refused call in a hundred makes 8 % of the requests fail.
	trimRefusedShare = 0.01
	trimWeight       = 0.2
	// trimStep is how much the target is lowered by a window with more
	// refusals, and trimRecovery how much it is raised again by a window with
	// fewer: an error of the estimate is corrected within a second, and the
	// original target is tried again over ten seconds.
	trimStep     = 0.02
	trimRecovery = 0.004
	// trimDelayWindows is the number of windows for which the pressure must
	// have been at the wanted value, less trimTolerance, before the target is
	// lowered. Requests that began earlier still make their calls for about a
	// second, and those calls find no capacity whatever the target is now.
	trimDelayWindows = 10
	trimTolerance    = 0.03
	// trimMinFactor is the smallest factor on the target, because short bursts
	// find no free capacity at any load.
	//
	// Without a bound, each window with a refusal raised the pressure further:
	// an upstream of 17 slots at three times its capacity refuses some calls in
	// most windows, and its pressure stood at 0.97 where 0.71 was wanted.
	trimMinFactor = 0.75
	// maxPressure still admits some requests, or nobody would notice that the
	// overload has passed.
	maxPressure = 0.97
)

// pressureLoad is the input of the pressure computation from one window.
type pressureLoad struct {
	// offered is the load that would have arrived if the roots had refused no
	// request, refused calls included, as a share of what the limit can serve.
	offered float64
	// arrived counts all calls, refused those that found no free capacity.
	arrived, refused int
	// meanWait is the mean wait of the calls that were queued, meanService the
	// mean service time of all calls.
	meanWait, meanService time.Duration
}

// pressure is the share of requests leading to an upstream that the roots
// should refuse, from 0 to 1. It is pure. The caller must hold the gate's lock.
//
// Load pattern: one request makes many calls, and the upstream that receives them
// can't serve all of them. If that upstream refuses calls, nearly every request
// fails, each after most of its work is done: with eight calls in a request and one
// call in ten refused, 57 % of the requests fail. It is better that fewer requests
// begin and all their calls run.
//
// The demand is computed from the calls that arrive: a call whose request was
// admitted while the root refused a share of similar requests also stands for
// those. The estimate therefore doesn't depend on when a change of the pressure
// takes effect.
type pressure struct {
	value float64
	// targetReduction is the share by which the target is lowered, and refused the
	// smoothed share of calls that found no free capacity.
	targetReduction, refused float64
	// settledWindows counts the windows in which value was near or above the wanted
	// value.
	settledWindows int
}

func (p *pressure) update(w pressureLoad) {
	p.trim(w)
	wanted := 0.0
	if w.offered > 0 {
		wanted = 1 - pressureTargetLoad*(1-p.targetReduction)/w.offered
	}
	p.settledWindows++
	if wanted > p.value+trimTolerance {
		p.settledWindows = 0
	}
	step := pressureFall
	if wanted > p.value {
		step = pressureRise
	}
	p.value += step * (wanted - p.value)
	p.value = min(max(p.value, 0), maxPressure)
}

// trim lowers the target while calls find no free capacity, or wait longer than
// their service takes: the offered load is only an estimate, and calls come in
// bursts.
func (p *pressure) trim(w pressureLoad) {
	if w.arrived > 0 {
		p.refused += trimWeight * (float64(w.refused)/float64(w.arrived) - p.refused)
	}
	if p.settledWindows < trimDelayWindows {
		return
	}
	if p.refused > trimRefusedShare || (w.meanWait > w.meanService && w.meanService > 0) {
		p.targetReduction = min(p.targetReduction+trimStep, 1-trimMinFactor)
		return
	}
	p.targetReduction = max(p.targetReduction-trimRecovery, 0)
}
