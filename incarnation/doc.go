// Package incarnation decides which incarnation of the upstream beside a node is in use,
// and whether it may get calls.
//
// Each start of an upstream is an incarnation. The reports about it may be late, repeated or
// reordered, may come from an earlier start or another writer, and the node itself may be
// restarted between two of them. A [Tracker] takes them in the order in which they arrive. Its
// rules:
//
//   - A departure binds the incarnation that it names, whichever incarnation is in use. An
//     incarnation that has left never gets calls again.
//   - Only a report of the incarnation in use can make it available again.
//   - An incarnation that was replaced comes back only if the one in use is silent.
//   - An id that no heartbeat has announced is never used.
//   - If a report leaves open which incarnation is running, none gets calls.
//
// A [Log] stores the departures, so that they bind the next process of the node as well. The
// Tracker does no I/O, takes the time as an argument and is not safe for concurrent use.
package incarnation
