// Package quarantine holds back requests under which upstreams end, so that one
// request can't take their service down.
//
// An upstream that ends takes every request with it that it was running, and at most
// a few of them are the cause. Ledger keeps how many upstreams in turn have ended under
// each request, by the fingerprint of its content. Blame counts
// an end against those requests that were there at the most ends before; the rest are
// suspects at most. A request that completes anywhere has shown that it is harmless,
// and its count is cleared.
//
// One end holds nothing back: an upstream ends for many causes. From HoldFrom ends on
// a request is held, the longer the more ends it has. When its time is over, one member
// tries it, alone: if it completes it is cleared, if its upstream ends it is held for
// longer.
//
// A node uses a Ledger in this order:
//
//	verdict := ledger.Decide(fingerprint, now)      // where a request is sent from
//	verdict := ledger.Begin(fingerprint, now)       // beside the upstream that is to run it
//	blame := ledger.Blame(runs, now)                // when the upstream has ended
//	record, news := ledger.Completed(fingerprint, now)
//	ledger.Abandon(fingerprint, sent, now)          // a trial that showed nothing
//
// Blame and Completed return Records, which members tell each other; Merge takes them
// in. Records of one request are ordered by their Stamp, so members agree whatever the
// order in which they hear them, and hearing one twice changes nothing.
//
// The package does no I/O and starts no goroutine. Time comes in as values, and how
// long a request is held is measured on the clock of whoever holds it, from when it
// heard: clocks need not agree. All methods may be called concurrently.
package quarantine
