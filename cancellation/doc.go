// Package cancellation decides what happens to a run at an upstream whose caller no longer
// waits for the answer.
//
// A caller may disconnect, or a request may fail in another of its calls, while an upstream
// works on a part of it. Closing the connection to the upstream stops the work and frees the
// slot, but costs a connection: the next call has to open a new one. For a run that is about to
// end, it is cheaper to let it finish, to discard the answer and to keep the connection.
//
// Decide is a pure function of what a node knows about the run. It starts no goroutine and does
// no I/O.
package cancellation
