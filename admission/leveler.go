package admission

import (
	"math"
	"time"

	"pollengauge.dev/call"
)

// levels is the number of levels.
const levels = int(call.MaxLevel) + 1

// Parameters of the level controller.
const (
	// initialAllowance is the allowance of the first calm window, as a share of
	// the admitted arrivals: how many more arrivals the level may let in.
	initialAllowance = 1.0 / 64
	// allowanceGrowth is the factor on the allowance for each further calm window.
	allowanceGrowth = 1.6
	// targetMargin is the target for admitted arrivals after an overloaded
	// window, as a share of the capacity, before targetDeviations is added.
	targetMargin = 1.05
	// targetDeviations is the number of standard deviations of a window's arrivals
	// that are added to the target.
	targetDeviations = 3
	// maxTargetFactor bounds the target as a multiple of the capacity, for
	// upstreams that finish few visits in a window.
	maxTargetFactor = 3
	// toleranceRecovery and toleranceGoodput are the factors on TargetWait at
	// Preference 0 and 1.
	toleranceRecovery = 2.0
	toleranceGoodput  = 8.0
	// minAdmittedShare is the smallest share of the admitted arrivals that one
	// raise of the level may leave.
	minAdmittedShare = 0.25
	// maxArrivalWeight is the highest weight of one window in the expected
	// arrivals.
	maxArrivalWeight = 0.5
	// arrivalNoise is the relative error that random variation may cause in the
	// expected arrivals.
	arrivalNoise = 0.06
	// filteredDecay is the factor per window on expected arrivals that are
	// refused by the roots and so can't be counted.
	filteredDecay = 0.98
	// minVisibleShare is the share of the arrivals expected below the level that
	// must come, or else the roots are taken to refuse them.
	minVisibleShare = 0.1
	// refusalShare is the share of arrivals refused by the queue from which a
	// window counts as overloaded.
	refusalShare = 0.1
	// provenCapacityWeight is the weight of an overloaded window in the proven
	// capacity.
	provenCapacityWeight = 0.5
	// spareShare is the share of the unused capacity that the level lets in
	// again at once. A higher share recovers sooner; a lower share refuses
	// fewer calls that the roots have admitted.
	spareShare = 0.8
	// minUtilization is the share of the capacity that must stay in use: a level is
	// admitted as a whole rather than leave less than that in use.
	minUtilization = 0.5
	// maxCalmWindows bounds the count of calm windows.
	maxCalmWindows = 64
	// graceWindows is the number of windows for which a raise of the level
	// spares calls whose root admitted them before the raise.
	graceWindows = 3
)

// windowDemand is the level controller's input from one window.
type windowDemand struct {
	// arrivals counts the calls of the window by level.
	arrivals *[levels]uint32
	// capacity is the number of visits that the upstream can finish in a
	// window.
	capacity float64
	// meanWait is the mean queue wait of the calls that left the queue.
	meanWait time.Duration
	// oldestWait is the wait of the oldest call still queued.
	oldestWait time.Duration
	// queueRefused counts the calls refused because of the queue.
	queueRefused int
	// windows is the number of windows since the last update, at least 1.
	windows int
	// preference is the mean preference of the calls that found no free
	// capacity.
	preference float64
}

// levelController computes the admission level. It is pure. The caller must
// hold the gate's lock.
type levelController struct {
	target      time.Duration
	level       call.Level
	expected    [levels]float32
	calmWindows int
	// provenCapacity is the capacity measured in overloaded windows. A calm window
	// doesn't show the capacity, because its limit is not used up.
	provenCapacity float64
	recentLevels   [graceWindows]call.Level
}

func newLevelController(c Config) *levelController {
	return &levelController{target: c.TargetWait, calmWindows: 1}
}

// update adjusts the level to the measurement of a window.
func (v *levelController) update(w windowDemand) {
	arrived := v.learn(w)
	copy(v.recentLevels[1:], v.recentLevels[:])
	v.recentLevels[0] = v.level
	if v.overloaded(w, arrived) {
		v.calmWindows = 0
		v.provenCapacity += provenCapacityWeight * (w.capacity - v.provenCapacity)
		v.raise(w.capacity)
		return
	}
	v.calmWindows = min(v.calmWindows+w.windows, maxCalmWindows)
	v.lower()
}

// inheritedLevel returns the level for calls that a root has already admitted.
func (v *levelController) inheritedLevel() call.Level {
	lowest := v.level
	for _, l := range v.recentLevels {
		lowest = min(lowest, l)
	}
	return lowest
}

func (v *levelController) overloaded(w windowDemand, arrived int) bool {
	tolerance := toleranceRecovery + w.preference*(toleranceGoodput-toleranceRecovery)
	target := time.Duration(float64(v.target) * tolerance)
	if w.meanWait > target || w.oldestWait > target {
		return true
	}
	return w.queueRefused > 0 && float64(w.queueRefused) >= refusalShare*float64(arrived)
}

// learn updates the expected arrivals from a window and returns the number of
// arrivals. Once the roots enforce the level, the arrivals below it can't be
// seen any more. If their absence were taken for a lack of demand, the level
// would fall and let in all of it at once. The last known arrivals below the
// level therefore decay slowly.
func (v *levelController) learn(w windowDemand) int {
	arrived := 0
	windows := float32(w.windows)
	filtered := v.filteredByRoots(w)
	weight := arrivalWeight(w.capacity)
	for i := range v.expected {
		n := w.arrivals[i]
		arrived += int(n)
		seen := float32(n) / windows
		e := &v.expected[i]
		switch {
		case !filtered || i >= int(v.level) || seen > *e:
			*e += weight * (seen - *e)
		default:
			*e *= filteredDecay
		}
	}
	return arrived
}

// filteredByRoots reports whether the roots refuse the calls below the level:
// of the arrivals expected there, only about as many came as the roots let
// through as probes.
func (v *levelController) filteredByRoots(w windowDemand) bool {
	seen, expected := 0.0, 0.0
	for i := range v.level {
		seen += float64(w.arrivals[i])
		expected += float64(v.expected[i])
	}
	return w.windows == 1 && seen < minVisibleShare*expected
}

// arrivalWeight returns the weight of a window in the expected arrivals. The
// fewer calls a window has, the larger is the random part of its count. A level
// that follows the random variation is too high in every other window.
func arrivalWeight(capacity float64) float32 {
	precise := arrivalNoise * arrivalNoise * max(capacity, 1)
	return float32(min(2*precise/(1+precise), maxArrivalWeight))
}

// admissionTarget returns the target for the number of admitted arrivals in a
// window, for a given capacity.
//
// The smaller the capacity, the further the target is above it, because of
// random variation: a window that can finish ten visits and receives 1.35 times
// as many calls on average still receives fewer than ten in one case out of
// eight, and the upstream idles in the middle of a surge. The queue refuses the
// excess calls, in the order of importance and before any work is done.
func admissionTarget(capacity float64) float64 {
	return min(targetMargin*capacity+targetDeviations*math.Sqrt(capacity), maxTargetFactor*capacity)
}

// raise lifts the level until the arrivals expected at or above it fit the
// capacity.
func (v *levelController) raise(capacity float64) {
	target := max(admissionTarget(capacity), minAdmittedShare*v.admitted())
	sum := 0.0
	for i := levels - 1; i >= int(v.level); i-- {
		next := sum + float64(v.expected[i])
		if next <= target {
			sum = next
			continue
		}
		// A level can only be refused as a whole. If that would leave half of
		// the capacity unused, because many calls share one level, the level is
		// admitted and the queue refuses the excess calls.
		if sum < minUtilization*target {
			i--
		}
		v.level = call.Level(min(i+1, levels-1))
		return
	}
}

// lower lets in as many arrivals as the unused part of the proven capacity
// allows, and at least a share of the admitted arrivals that grows with each
// calm window. So a lasting overload is held near the capacity, and after a
// surge, when the arrivals expected below the level no longer come, the level
// falls to zero within a few windows.
func (v *levelController) lower() {
	if v.level == 0 {
		return
	}
	admitted := v.admitted()
	allowance := initialAllowance * max(admitted, 1)
	for range v.calmWindows - 1 {
		allowance *= allowanceGrowth
	}
	allowance = max(allowance, spareShare*(admissionTarget(v.provenCapacity)-admitted))
	sum := 0.0
	for v.level > 0 {
		next := sum + float64(v.expected[v.level-1])
		if next > allowance && admitted+sum >= minUtilization*v.provenCapacity {
			return
		}
		sum = next
		v.level--
	}
}

// admitted returns the number of arrivals expected at or above the level.
func (v *levelController) admitted() float64 {
	sum := 0.0
	for i := int(v.level); i < levels; i++ {
		sum += float64(v.expected[i])
	}
	return sum
}
