package objects

import (
	"net/url"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of Options: sizes in bytes, rates in calls a second.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultWatchWait = 30 * time.Second
	DefaultMaxAnswer = 16_000_000
	DefaultReadRate  = rate.Limit(20)
	DefaultWriteRate = rate.Limit(10)
	DefaultBurst     = 40
)

// Options sets up a Client. Only Endpoint and Wire have to be given; zero values of the
// others mean the defaults above, where there is one.
type Options struct {
	// Endpoint is the platform's base URL, for example http://10.0.0.9:7070.
	Endpoint string
	// Wire is how the store at Endpoint speaks. There is no default.
	Wire Wire
	// Timeout bounds one call, from dialling to the last byte. Longer rides
	// out a slow platform; shorter frees callers sooner, but turns slow
	// writes into ambiguous ones, each of which costs a read to settle.
	Timeout time.Duration
	// WatchWait is how long one watch waits for events. Longer saves calls
	// (one per wait and watcher); shorter notices a dead connection sooner.
	WatchWait time.Duration
	// ShortWatchWait, if set, is how long some watches wait, drawn by chance so that
	// a watcher spends as much time in short ones as in long ones.
	//
	// The failure: an event answers all watchers, who ask again together, and
	// then the platform drops their watches without an answer. All are silent
	// until their waits have passed, and a change is known nowhere for so long.
	// With half of the time in short ones, some of a handful of watchers ask again soon.
	ShortWatchWait time.Duration
	// MaxAnswer bounds the bytes read of one answer. It must hold a page of a
	// list; lower saves memory when the platform answers nonsense.
	MaxAnswer int64
	// ReadRate and WriteRate are this client's call budget, in calls a
	// second. The platform's rates are shared by the whole fleet and grow
	// more slowly than it, so a client over its budget is told so at once
	// (*RateError) rather than taking the others' part. rate.Inf lifts it.
	ReadRate  rate.Limit
	WriteRate rate.Limit
	// MaxReadRate and MaxWriteRate, in calls a second, are how far the budget
	// may grow while it is used up and the platform takes the calls; it is
	// halved, down to ReadRate and WriteRate, when the platform answers 429. Zero keeps the budget fixed. High values use what other
	// clients leave, at the price of more 429s when many want more at once.
	MaxReadRate  rate.Limit
	MaxWriteRate rate.Limit
	// Burst is how many calls may go out at once after a quiet time.
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

// base checks the endpoint and returns it without a trailing slash.
func (o Options) base() (string, error) {
	if o.Wire == nil {
		return "", &InvalidError{Field: "wire", Want: "how the store speaks"}
	}
	u, err := url.Parse(o.Endpoint)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || (u.Path != "" && u.Path != "/") || u.RawQuery != "" {
		return "", &InvalidError{Field: "endpoint", Value: o.Endpoint, Want: "http://host:port or https://host:port"}
	}
	return u.Scheme + "://" + u.Host, nil
}
