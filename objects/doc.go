// Package objects is the client for the platform's object API: versioned
// objects, conditional writes and watches.
//
// NewClient returns a Store over HTTP. Code that stores state in the platform
// takes the Store interface, so that tests can pass an in-memory store. A
// Watcher (or RunWatch) notifies a handler of all changes to the objects of
// one kind, across outages. UpdateSettled applies a change to an object exactly
// once even if responses are lost.
//
// The package guarantees:
//
//   - Every error that it returns has one of its own error types. A write that
//     fails with any error other than *AmbiguousError changed nothing.
//   - Each call of a method sends its write at most once: the client does not
//     retry or follow redirects, and net/http cannot replay the request.
//   - Options bounds the duration of a call, the bytes read and the calls per
//     second. The call budget may grow up to MaxReadRate and MaxWriteRate while
//     the platform accepts the calls, and is halved when it responds with 429.
//   - A response is used only if it is well formed and describes the requested
//     object.
//
// All methods of Client may be called concurrently. Backoff is a stateless
// value. A Watcher must only be used by the goroutine that runs it.
package objects
