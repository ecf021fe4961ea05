package load

import (
	"time"

	"pollengauge.dev/call"
)

// Result is the result of an operation or attempt as its client sees it.
type Result uint8

const (
	// Unknown: an attempt may have run, but the client received no complete
	// answer.
	Unknown Result = iota
	// NotRun: the answer to the last attempt says that it was not run.
	NotRun
	// Failed: the client received a complete answer that reports a failure.
	Failed
	// Stale: instead of a refusal, the client received a stored answer that
	// the same caller got for the same item in an earlier operation.
	Stale
	// Whole: the client received the operation's own complete answer.
	Whole
)

var resultNames = [...]string{Unknown: "unknown", NotRun: "not-run", Failed: "failed", Stale: "stale", Whole: "whole"}

// String returns the name used in tables.
func (r Result) String() string { return resultNames[r] }

// Try is one attempt of the client.
type Try struct {
	// Addr is the address of the edge that the attempt was sent to.
	Addr   string
	Result Result
	Reason call.Reason
	// Hop is the service that reported Reason.
	Hop    string
	Status int
	// Sent and Answered are the start and the end of the attempt, relative to
	// the start of the run.
	Sent     time.Duration
	Answered time.Duration
	// AnsweredAt is the wall-clock time of Answered.
	AnsweredAt time.Time
	RetryAfter time.Duration
	// AnswerTry is the number of the try that a complete answer names. It is
	// an earlier try if a keyed attempt received the stored result of a
	// previous attempt.
	AnswerTry int
	// Crossed: the answer belongs to another operation, service or route or,
	// if it is a stored answer, to another caller or item. Truncated: the
	// answer ended early although the transport reported it as complete.
	Crossed   bool
	Truncated bool
}

// Record is one operation from the client's side.
type Record struct {
	Arrival
	Tries []Try
	// Latency is the time from the planned start to the end of the last try.
	Latency time.Duration
	Result  Result
}

// last returns the last try, or the zero Try if there is none.
func (r *Record) last() Try {
	if len(r.Tries) == 0 {
		return Try{}
	}
	return r.Tries[len(r.Tries)-1]
}

// End returns the end of the operation, relative to the start of the run.
func (r *Record) End() time.Duration { return r.At + r.Latency }

// AnswerTry returns the number of the try that produced the client's complete
// answer, or 0 if the client has none.
func (r *Record) AnswerTry() int {
	if r.Result != Whole {
		return 0
	}
	return r.last().AnswerTry
}
