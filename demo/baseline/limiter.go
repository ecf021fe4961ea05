package baseline

import (
	"sync"
	"time"
)

// Limiter decides whether an upstream accepts another request.
type Limiter interface {
	// Acquire reports whether the request is accepted.
	Acquire() bool
	// Release reports the end of an accepted request, with its latency and
	// whether it succeeded.
	Release(latency time.Duration, ok bool)
}

// Unlimited accepts every request.
type Unlimited struct{}

// Acquire implements Limiter.
func (Unlimited) Acquire() bool { return true }

// Release implements Limiter.
func (Unlimited) Release(time.Duration, bool) {}

// Static accepts a fixed number of concurrent requests.
type Static struct {
	slots chan struct{}
}

// NewStatic returns a Static with the given limit.
func NewStatic(limit int) *Static { return &Static{slots: make(chan struct{}, limit)} }

// Acquire implements Limiter.
func (s *Static) Acquire() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// Release implements Limiter.
func (s *Static) Release(time.Duration, bool) { <-s.slots }

// AIMDConfig configures an AIMD limiter.
type AIMDConfig struct {
	// Start is the initial limit, and Most is the maximum. The minimum is 1.
	Start, Most int
	// Target is the latency above which a request counts as a failure. A low
	// target decreases the limit at every fluctuation; a high target lets the
	// queue in front of the workers grow before the limit decreases.
	Target time.Duration
}

// decrease is the factor by which a failed or late request multiplies the limit.
const decrease = 0.9

// AIMD is a limiter with additive increase and multiplicative decrease. While at
// least half of the limit is in use, it increases the limit by one for every
// full limit of successful requests. It decreases the limit by a tenth for each
// failed or late request.
type AIMD struct {
	config AIMDConfig

	mu    sync.Mutex
	limit float64
	used  int
}

// NewAIMD returns an AIMD limiter.
func NewAIMD(c AIMDConfig) *AIMD { return &AIMD{config: c, limit: float64(c.Start)} }

// Acquire implements Limiter.
func (a *AIMD) Acquire() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used >= int(a.limit) {
		return false
	}
	a.used++
	return true
}

// Release implements Limiter.
func (a *AIMD) Release(latency time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	halfUsed := a.used*2 >= int(a.limit)
	a.used--
	switch {
	case !ok || latency > a.config.Target:
		a.limit = max(1, a.limit*decrease)
	case halfUsed:
		a.limit = min(float64(a.config.Most), a.limit+1/a.limit)
	}
}

// Limit returns the current limit.
func (a *AIMD) Limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.limit)
}
