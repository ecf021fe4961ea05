// Package quarantine withholds requests that crash upstreams, so that one request can't
// take a service down.
//
// An upstream that crashes takes down every request that it was running, and at most a
// few of them caused the crash. A Ledger stores, by the fingerprint of a request's
// content, how many upstreams in succession have crashed while they ran the request.
// Ledger.Blame counts a crash only against the requests with the most earlier crashes;
// the other requests become suspects at most. A request that completes anywhere is
// shown to be harmless, and its count is cleared.
//
// A single crash quarantines nothing, because an upstream can crash for many reasons.
// After QuarantineThreshold crashes a request is held in quarantine, for longer the more
// crashes it has. When its time is over, one member runs it as a trial, alone among the
// quarantined requests: if it completes it is cleared; if the upstream crashes it is held
// for longer.
//
// A node uses a Ledger in this order:
//
//	verdict := ledger.Decide(fingerprint, now)      // at the node that sends a request
//	verdict := ledger.Begin(fingerprint, now)       // at the node whose upstream is to run it
//	blame := ledger.Blame(runs, now)                // after the upstream has crashed
//	record, announce := ledger.Completed(fingerprint, now)
//	ledger.Abandon(fingerprint, sent, now)          // after a trial without a result
//
// Blame and Completed return Records, which members send to each other and pass to
// Merge. The Records of one request are ordered by their Stamp, so all members reach
// the same state in whatever order they receive them, and receiving a Record twice
// changes nothing.
//
// The package does no I/O and starts no goroutine. Times are passed in as values. Each
// member measures how long a request is held on its own clock, from the moment that it
// receives the Record, so clocks need not be synchronized. All methods are safe for
// concurrent use.
package quarantine
