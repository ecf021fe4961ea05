package atmostonce

import (
	"context"
	"errors"
	"strconv"

	"pollengauge.dev/call"
)

// Chunk is a part of a table that is sent to the successor. Sending a chunk
// twice has no further effect.
type Chunk struct {
	From    Incarnation
	To      Incarnation
	Attempt uint64
	Seq     int
	Total   int
	Homes   []HomeRecord
	Entries []EntryRecord
}

// HomeRecord is one incarnation whose keys the sender owns, with the clock by
// which these keys expire.
type HomeRecord struct {
	Incarnation Incarnation
	// NowUnixNano is the reading of the incarnation's clock when the chunk was
	// created.
	NowUnixNano int64
	// RetireUnixNano is the time on that clock at which all keys of the
	// incarnation have expired.
	RetireUnixNano int64
}

// EntryRecord is the fate of one key.
type EntryRecord struct {
	Key             string
	Home            Incarnation
	ExpiresUnixNano int64 // by the clock of Home
	Done            bool  // if false, the fate is unknown
	Answer          *Answer
	Reason          call.Reason
	RequestID       string
	Profile         string
	Fingerprint     uint64
	Durable         bool
	Unsaved         bool
	ClaimID         string
	ClaimVersion    Version
}

// CommitRequest asks the successor to become the owner of the keys.
type CommitRequest struct {
	From    Incarnation
	To      Incarnation
	Attempt uint64
	Total   int
}

// AbortRequest asks the successor never to commit this or an earlier attempt.
type AbortRequest struct {
	From    Incarnation
	To      Incarnation
	Attempt uint64
}

// Successor sends the messages of a hand-over to the node that takes over,
// where the Table methods of the same names are called. An *InheritError is the
// successor's rejection. After any other error the message may have taken
// effect.
type Successor interface {
	Stage(ctx context.Context, chunk Chunk) error
	Commit(ctx context.Context, request CommitRequest) error
	Abort(ctx context.Context, request AbortRequest) error
}

// HandOverError reports which step of a hand-over failed, and whether the
// successor may already own the keys.
type HandOverError struct {
	Step      string
	To        Incarnation
	Ambiguous bool
	Err       error
}

// Error implements error.
func (e *HandOverError) Error() string {
	text := "hand-over to " + string(e.To) + ": " + e.Step + " failed"
	if e.Ambiguous {
		text += ", the successor may already own the keys"
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause, if there is one.
func (e *HandOverError) Unwrap() error { return e.Err }

// InheritCode is the reason for which a successor rejected a message.
type InheritCode string

// Codes of InheritError.
const (
	// InheritWrongNode: the message is for another incarnation.
	InheritWrongNode InheritCode = "wrong-node"
	// InheritNotActive: the successor is draining itself.
	InheritNotActive InheritCode = "not-active"
	// InheritNoCapacity: the table has no capacity for the entries.
	InheritNoCapacity InheritCode = "no-room"
	// InheritAborted: the attempt was aborted and can no longer be committed.
	InheritAborted InheritCode = "aborted"
	// InheritCommitted: the attempt was committed and can no longer be aborted.
	InheritCommitted InheritCode = "committed"
	// InheritIncomplete: chunks are missing.
	InheritIncomplete InheritCode = "incomplete"
	// InheritMalformed: the message is inconsistent in itself or with earlier
	// ones.
	InheritMalformed InheritCode = "malformed"
)

// InheritError is a successor's rejection of a message. A Successor must return
// it to the sender unchanged.
type InheritError struct {
	Code    InheritCode
	From    Incarnation
	Attempt uint64
}

// Error implements error.
func (e *InheritError) Error() string {
	return "hand-over " + strconv.FormatUint(e.Attempt, 10) + " from " + string(e.From) + " refused: " + string(e.Code)
}

// inheritError returns the error for a code, or nil if code is empty.
func inheritError(code InheritCode, from Incarnation, attempt uint64) error {
	if code == "" {
		return nil
	}
	return &InheritError{Code: code, From: from, Attempt: attempt}
}

func isCommitted(err error) bool {
	var refused *InheritError
	return errors.As(err, &refused) && refused.Code == InheritCommitted
}
