package standin

import "golang.org/x/time/rate"

// Default values of Options: rates in calls a second, history in events.
const (
	DefaultReadRate  = 2000
	DefaultWriteRate = 400
	DefaultHistory   = 4096
	// burstDivisor is the divisor of a rate that gives its burst: a tenth of a
	// second's calls may arrive at once.
	burstDivisor = 10
)

// Options configures a Server or a Memory. The zero value selects the defaults,
// which are the limits of the platform.
type Options struct {
	// ReadRate and WriteRate are the rate limits in calls a second. A watch
	// counts as one read. Zero means the default, math.Inf(1) no limit.
	ReadRate  float64
	WriteRate float64
	// History is the number of events retained for watches. With fewer, a
	// watcher that was disconnected gets an *objects.CompactedError sooner.
	History int
	// Seed is the seed of the random source for Faults.DropProbability.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.ReadRate == 0 {
		o.ReadRate = DefaultReadRate
	}
	if o.WriteRate == 0 {
		o.WriteRate = DefaultWriteRate
	}
	if o.History <= 0 {
		o.History = DefaultHistory
	}
	return o
}

// newLimiter returns a limiter for the rate set by a fault, or for the configured
// rate if fault is 0.
func newLimiter(fault, configured float64) *rate.Limiter {
	perSecond := configured
	if fault > 0 {
		perSecond = fault
	}
	if perSecond >= float64(rate.Inf) {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstDivisor)))
}
