package load

import (
	"time"

	"pollengauge.dev/demo/upstream"
)

// Retrying is the retry policy of a client for attempts without a complete
// answer.
type Retrying struct {
	// Tries is the maximum number of attempts per operation, including the
	// first. More tries let more operations complete while failures are
	// isolated, and multiply the load when all operations fail together.
	Tries int
	// Hard makes the client retry immediately. Otherwise it waits for the
	// time in Retry-After, or for Backoff if the answer has no Retry-After.
	Hard bool
	// Backoff is the wait before a retry when Hard is false and the answer
	// has no Retry-After.
	Backoff time.Duration
}

// Keying is the source of an operation's idempotency key.
type Keying uint8

const (
	// NoKey sends no idempotency key.
	NoKey Keying = iota
	// OwnKey sends a key that the client generated.
	OwnKey
	// MintedKey first requests a key from the system.
	MintedKey
)

// Class is one kind of traffic.
type Class struct {
	Name string
	// Profile is the profile that the system is expected to assign to the
	// class.
	Profile string
	Target  upstream.Call
	Method  string
	// Rate is in operations per second outside a surge.
	Rate  float64
	Key   Keying
	Retry Retrying
	// Timeout is how long the client waits for one attempt.
	Timeout time.Duration
	// Once marks operations that must not run twice.
	Once bool
	// Shed is the class's position in the order in which overload must shed
	// classes.
	Shed ShedOrder
}

// ShedOrder is the order in which classes are shed under overload.
type ShedOrder uint8

const (
	// ShedFree classes have no guaranteed position.
	ShedFree ShedOrder = iota
	// ShedFirst classes are refused before any ShedLast class.
	ShedFirst
	// ShedLast classes are refused last.
	ShedLast
)

// Phase multiplies all rates by Factor from Start to End.
type Phase struct {
	Start, End time.Duration
	Factor     float64
}
