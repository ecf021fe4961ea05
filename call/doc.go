// Package call defines the types that all other packages of pollengauge share: the
// information that travels downstream with a call (Context), the information that comes
// back with a response (Report), and the Outcome on which a caller may rely.
//
// The package does no I/O and has no state. Decoding treats every header as hostile
// input: for a malformed or out-of-range value it returns a typed *HeaderError, never a
// silent default.
package call
