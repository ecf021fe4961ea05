package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"pollengauge.dev/call"
)

// Defaults for AfterInput.
const (
	DefaultAfterBase = time.Second
	DefaultAfterMax  = 60 * time.Second
)

// maxLevelFactor bounds the factor by which the range of hints widens for
// levels below the level in force. Low levels are admitted last when an
// overload passes, so their callers should come back later.
const maxLevelFactor = 3

// maxRecoveryFactor multiplies the overload-dependent part of the range of
// hints for profiles that prefer recovery time. The backlog left by a surge of
// some seconds is larger than After estimates, and has to be served beside the
// usual load without making that load wait.
const maxRecoveryFactor = 16

// AfterInput holds the inputs of After.
type AfterInput struct {
	// Level is the level of the refused request. InForce is the admission level that
	// refused it, or 0 when the refusal did not depend on the level.
	Level   call.Level
	InForce call.Level
	// RefusedShare is the share of recent requests that were refused, 0 to 1.
	RefusedShare float64
	// Recovery is the preference of the caller's profile, from goodput (0) to
	// recovery time (1). Values near 1 spread the returning callers over a
	// longer time, which leaves capacity for new callers.
	Recovery float64
	// Base is the shortest hint: the time in which the service has room for as many
	// requests as it serves at once, which is about the work of one request. Default 1 s.
	Base time.Duration
	// Max is the longest hint, such as the time after which the caller has too little
	// left for its request. A Max below Base counts as Base. Default 60 s.
	Max time.Duration
}

// After returns how long a refused caller should wait before it tries again.
// The hint is only a field of the answer; the answer itself is not delayed.
//
// Hints are distributed uniformly between Base and an upper end that grows with
// the overload. A service that refuses the share s of its requests needs
// 1/(1-s) times the arrival time of those requests to serve them all, so the
// upper end is Base + Base/(1-s). It is higher for levels far below the level
// in force and for profiles that prefer recovery time. If all refused callers
// received the same hint, they would come back at the same time and be refused
// together again.
func After(in AfterInput, r *rand.Rand) time.Duration {
	base := in.Base
	if base <= 0 {
		base = DefaultAfterBase
	}
	limit := in.Max
	if limit <= 0 {
		limit = DefaultAfterMax
	}
	limit = max(limit, base)
	factor := (1 + (overloadFactor(in.RefusedShare)-1)*recoveryFactor(in.Recovery)) * levelFactor(in.Level, in.InForce)
	span := min(float64(base)*factor, float64(limit-base))
	return base + time.Duration(span*r.Float64())
}

// overloadFactor returns 1/(1-share), at most 100.
func overloadFactor(share float64) float64 {
	const maxShare = 0.99
	if math.IsNaN(share) {
		return 1
	}
	return 1 / (1 - min(max(share, 0), maxShare))
}

// recoveryFactor returns a factor from 1, when goodput is preferred, to
// maxRecoveryFactor, when recovery time is preferred.
func recoveryFactor(recovery float64) float64 {
	if math.IsNaN(recovery) {
		return 1
	}
	return 1 + (maxRecoveryFactor-1)*min(max(recovery, 0), 1)
}

// levelFactor returns 1 for a level at or above the level in force, and a
// factor of up to maxLevelFactor for levels below it.
func levelFactor(level, inForce call.Level) float64 {
	if level >= inForce {
		return 1
	}
	gap := float64(inForce-level) / float64(call.MaxLevel+1)
	return 1 + (maxLevelFactor-1)*gap
}

// RetryAfterSeconds converts a hint to the value of the Retry-After header, which is
// at least 1. It rounds up with a probability equal to the fraction of a
// second, and down otherwise. This preserves the mean and does not concentrate
// many callers in one second.
func RetryAfterSeconds(d time.Duration, r *rand.Rand) int {
	seconds := int(d / time.Second)
	fraction := float64(d%time.Second) / float64(time.Second)
	if r.Float64() < fraction {
		seconds++
	}
	return max(seconds, 1)
}
