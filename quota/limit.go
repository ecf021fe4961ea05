package quota

import "time"

// Limit bounds the requests of a customer that are forwarded: in any window, Rate times
// the window's length plus Burst.
type Limit struct {
	// Rate is in requests per second, greater than 0.
	Rate float64
	// Burst is the number of requests that may arrive at once, in addition to the rate.
	Burst float64
}

// capacity returns the bucket's size in tokens. A size below one would never let a
// request through.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

// perWindow returns the number of requests that may be forwarded in a window.
func (l Limit) perWindow(window time.Duration) float64 { return l.Rate*window.Seconds() + l.Burst }

// windowRate returns the requests per second that use up a window's limit evenly.
func (l Limit) windowRate(window time.Duration) float64 {
	return l.perWindow(window) / window.Seconds()
}

// Tolerance is how far the total over all nodes may exceed a limit in any window. It
// exists so that nodes need not contact the owner for each request.
type Tolerance struct {
	// Window is the length of the sliding window in which requests are counted.
	Window time.Duration
	// Over is the permitted excess as a fraction of what the limit allows in a window.
	// Slack is a number of requests permitted in addition.
	Over  float64
	Slack float64
}

// DefaultTolerance suits limits of a few requests per second and more.
var DefaultTolerance = Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// Fractions of a Tolerance. They add up to less than 1; the rest covers customers whose
// owner changes.
const (
	ttlShare    = 0.4
	deputyShare = 0.3
	startShare  = 0.2
	// minTTL and maxTTL bound the time to live of a token. maxTTL applies where the
	// tolerance would allow a longer one, because demand moves between nodes.
	maxTTL = time.Second
	minTTL = 10 * time.Millisecond
)

// TokenTTL returns the time to live of a leased token. It is chosen so that the tokens
// leased in one window and used in the next stay below ttlShare of the excess that Over
// permits.
func (t Tolerance) TokenTTL() time.Duration {
	return min(max(time.Duration(ttlShare*t.Over*float64(t.Window)), minTTL), maxTTL)
}

// Deputy returns the limit within which a deputy leases tokens.
func (t Tolerance) Deputy(l Limit) Limit {
	seconds := t.Window.Seconds()
	if seconds <= 0 {
		return Limit{}
	}
	return Limit{Rate: deputyShare * (t.Over*l.perWindow(t.Window) + t.Slack) / seconds, Burst: 0}
}

// Start returns the number of tokens in a new bucket.
func (t Tolerance) Start(l Limit) float64 { return min(startShare*t.Slack, l.capacity()) }

// MaxRequests returns the maximum number of a customer's requests in a window.
func (t Tolerance) MaxRequests(l Limit) float64 { return l.perWindow(t.Window)*(1+t.Over) + t.Slack }
