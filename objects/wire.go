package objects

import (
	"time"
)

// Wire is how one store speaks HTTP: it puts queries into messages and reads
// the answers. A Wire decides nothing about retries, budgets or unknown
// fates; that is the Client's part. Its methods may be called concurrently.
type Wire interface {
	// Encode returns the message for q.
	Encode(q Query) (Message, error)
	// Decode reads the answer to q. A refusal of the store is one of this
	// package's errors, and each of them but *ProtocolError states that a
	// write changed nothing.
	Decode(q Query, a Answer) (Reply, error)
}

// Query is one call of the object API.
type Query struct {
	Op   Op
	Kind string
	// Name is empty for a list and a watch.
	Name string
	// After is the last name of the page before, in a list.
	After string
	// Expected is the version that an update or a delete replaces, 0 for a
	// create.
	Expected uint64
	// Value is what a create or an update writes.
	Value []byte
	// From is the revision after which a watch wants events, and Wait how long
	// it waits for one.
	From uint64
	Wait time.Duration

	prefix string
}

// Message is what to send for one query.
type Message struct {
	Method string
	// Path has the query string too.
	Path string
	// Body is nil for none. It is JSON.
	Body []byte
}

// Answer is what came back, read whole.
type Answer struct {
	Status int
	// RetryAfter is the header's value as it came.
	RetryAfter string
	Body       []byte
}

// Reply is a decoded answer.
type Reply struct {
	// Objects has the one object of a get, create or update, or the page of a
	// list.
	Objects []Object
	// Events are those of a watch.
	Events []Event
	// Revision is the store's, in a list and a watch.
	Revision uint64
	// More tells that a list goes on after its last object.
	More bool
}

// Malformed returns the error for an answer that could not be understood.
func (q Query) Malformed(a Answer, detail string, cause error) error {
	return &ProtocolError{Op: q.Op, Status: a.Status, Detail: detail, Cause: cause}
}
