package objects

import (
	"net/url"
	"time"

	"golang.org/x/time/rate"
)

// Default values of Options: sizes in bytes, rates in calls a second.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultWatchWait = 30 * time.Second
	DefaultMaxAnswer = 16_000_000
	DefaultReadRate  = rate.Limit(20)
	DefaultWriteRate = rate.Limit(10)
	DefaultBurst     = 40
)

// Options configures a Client. Endpoint and Wire are required. The zero value of
// another field selects its Default constant, if there is one.
type Options struct {
	// Endpoint is the platform's base URL, for example http://10.0.0.9:7070.
	Endpoint string
	// Wire encodes and decodes the HTTP messages of the store at Endpoint. It has
	// no default.
	Wire Wire
	// Timeout bounds the time from dialling until the response begins to
	// arrive, and then each wait for more of it; a call may take up to 16
	// timeouts more. A longer timeout tolerates a slow platform; a
	// shorter one returns to callers sooner, but makes slow writes ambiguous,
	// and each ambiguous write costs a read to settle.
	Timeout time.Duration
	// WatchWait is how long one watch waits for events. A longer wait saves
	// calls (each watcher makes one per wait); a shorter wait detects a dead
	// connection sooner.
	WatchWait time.Duration
	// ShortWatchWait, if set, is how long some watches wait. They are chosen at
	// random so that a watcher spends as much time in short watches as in long
	// ones.
	//
	// It guards against this failure: an event ends the watches of all watchers,
	// which start new watches at the same time, and the platform then drops
	// these without a response. No watcher would learn of a change until
	// WatchWait has passed. With half of the time spent in short watches, some
	// of a handful of watchers start a new watch soon.
	ShortWatchWait time.Duration
	// MaxAnswer is the maximum number of bytes read of one response. It must be
	// large enough for a page of a list; a lower value limits the memory used
	// for an invalid response.
	MaxAnswer int64
	// ReadRate and WriteRate are this client's call budget, in calls a second.
	// All nodes share the platform's rate limits, which grow more slowly than
	// the number of nodes. A call over the budget therefore fails at once with a
	// *RateError instead of taking capacity from other clients. rate.Inf removes
	// the limit.
	ReadRate  rate.Limit
	WriteRate rate.Limit
	// MaxReadRate and MaxWriteRate, in calls a second, are the rates up to which
	// the budget may grow while it is used up and the platform accepts the
	// calls. The budget is halved, but not below ReadRate and WriteRate, when
	// the platform responds with 429. Zero makes the budget fixed. High values
	// use capacity that other clients leave unused, at the price of more 429
	// responses when many clients need more at the same time.
	MaxReadRate  rate.Limit
	MaxWriteRate rate.Limit
	// Burst is the maximum number of calls sent at once after an idle period.
	Burst int
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchWait <= 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.MaxAnswer <= 0 {
		o.MaxAnswer = DefaultMaxAnswer
	}
	if o.ReadRate <= 0 {
		o.ReadRate = DefaultReadRate
	}
	if o.WriteRate <= 0 {
		o.WriteRate = DefaultWriteRate
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	return o
}

// base checks Wire and Endpoint and returns the endpoint without a trailing
// slash.
func (o Options) base() (string, error) {
	if o.Wire == nil {
		return "", &InvalidError{Field: "wire", Want: "the wire format of the store"}
	}
	u, err := url.Parse(o.Endpoint)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || (u.Path != "" && u.Path != "/") || u.RawQuery != "" {
		return "", &InvalidError{Field: "endpoint", Value: o.Endpoint, Want: "http://host:port or https://host:port"}
	}
	return u.Scheme + "://" + u.Host, nil
}
