// Package load drives a deployment with an open-loop load: operations start at
// their planned times, whether or not earlier ones were answered, and latency
// is measured from the planned start, so that a stalled system can't hide its
// stall (no coordinated omission).
//
// Plan draws the arrivals in advance from a seed, so that several systems can
// be given the same load. Runner.Run sends them and returns a Record for each
// operation. It compares every answer with its request and marks answers that
// belong to another request (crossed) or are silently truncated. Recovery
// computes how long normal service took to return after a surge.
//
// Plan, Recovery and Summarize are pure functions. A Runner supports one call
// of Run at a time.
package load
