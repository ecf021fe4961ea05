package objects

import (
	"net/http"
	"time"
)

// Wire is the HTTP encoding of a store's API: it encodes queries as messages and
// decodes the responses. Retries, budgets and writes with an unknown outcome are
// not its concern but the Client's. Its methods may be called concurrently.
type Wire interface {
	// Encode returns the message for q.
	Encode(q Query) (Message, error)
	// Decode decodes the response to q. If the store rejected the query, Decode
	// returns one of this package's errors. Each of them except *ProtocolError
	// guarantees that a write changed nothing.
	Decode(q Query, a Answer) (Reply, error)
	// Era returns the era of the store that a response states, 0 if it states none that
	// can be read. Successes and failures state it.
	Era(a Answer) uint64
}

// Query is one call of the object API.
type Query struct {
	Op   Op
	Kind string
	// Name is empty for a list and a watch.
	Name string
	// After is the last name on the previous page of a list, empty for the first
	// page.
	After string
	// Expected is the version that the stored object must have for an update or
	// a delete, 0 for a create.
	Expected uint64
	// ExpectedEra is the era in which the store gave out Expected, 0 if not known.
	ExpectedEra uint64
	// Relaxed allows a get or a list to return data that is seconds old.
	Relaxed bool
	// Value is the value that a create or an update writes.
	Value []byte
	// From is the revision after which a watch returns events. Wait is how long
	// the watch waits for the first event.
	From uint64
	Wait time.Duration

	prefix string
}

// Message is the HTTP request for one query.
type Message struct {
	Method string
	// Path includes the query string.
	Path string
	// Body is JSON, or nil for a request without a body.
	Body []byte
}

// Answer is a complete HTTP response.
type Answer struct {
	Status int
	// RetryAfter is the unparsed value of the Retry-After header.
	RetryAfter string
	Header     http.Header
	Body       []byte
}

// Reply is a decoded response.
type Reply struct {
	// Objects contains the object of a get, create or update, or the objects on
	// one page of a list.
	Objects []Object
	// Events are the events returned by a watch.
	Events []Event
	// Revision is the store's revision as of a list, or the revision from which
	// the next watch starts.
	Revision uint64
	// More reports whether a list continues after the last of Objects.
	More bool
}

// Malformed returns the *ProtocolError for a malformed response to q.
func (q Query) Malformed(a Answer, detail string, cause error) error {
	return &ProtocolError{Op: q.Op, Status: a.Status, Detail: detail, Cause: cause}
}
