// Package admission decides, for one upstream, which calls run now, which calls
// wait in a queue and which calls are refused before any work is done.
//
// A Gate stands in front of one upstream. Every call goes through Gate.Acquire,
// which returns either a Ticket or a *RefusedError. A refused call has not been
// dispatched and never will be. The holder of a Ticket reports when its visit
// waits for downstream calls (Block, Unblock) and how the visit ended
// (Release).
//
// A gate combines three mechanisms:
//
//   - an adaptive limit on active visits, learned from self time (service time
//     minus the time blocked in downstream calls) and from goodput;
//   - an admission level, below which calls are refused at once, learned from
//     the queue wait and from a histogram of arrivals by level;
//   - a short queue, ordered by importance, that drops calls which can't finish
//     in time.
//
// At the root of a request, Feedback and Shedder refuse calls that a downstream
// hop would refuse, Ranker, FairTiebreak and ShareTiebreak set the tie-break that
// shares a level fairly among callers, and Brownout stores recent complete responses
// for profiles that prefer a stale response to a refusal. ShouldRefuse reports whether
// a node is too far behind with its own work to begin more.
//
// SetRate adds a limit on the calls dispatched in a second, for an upstream that names
// one.
//
// All exported methods may be called concurrently. The package does no I/O. It starts no
// goroutines, except for a timer while a rate holds calls back: a measurement window is
// closed by the first call that comes after its end. The decisions themselves are pure
// functions of the values and times passed in.
package admission
