// Package objects is the client for the platform's object API: versioned
// objects, conditional writes and watches.
//
// NewClient returns a Store over HTTP. Code that keeps state in the platform
// takes the Store interface, so that tests can pass an in-memory one. A
// Watcher (or RunWatch) keeps a handler told of one kind of objects through
// outages; UpdateSettled changes an object exactly once although answers may
// be lost.
//
// What the package promises:
//
//   - Every failure is one of its error types. A write that ends in any error
//     but *AmbiguousError changed nothing.
//   - A write is sent at most once per call. Nothing is sent again behind the
//     caller's back: no retry, no redirect, no replay by net/http.
//   - Time, bytes read and calls per second are bounded by Options. The call
//     budget may grow up to MaxReadRate and MaxWriteRate while the platform
//     takes the calls, and is halved when it answers 429.
//   - An answer is believed only if it is well formed and about the object
//     that was asked for.
//
// All methods of Client may be called concurrently. Backoff is a plain value.
// A Watcher belongs to the goroutine that runs it.
package objects
