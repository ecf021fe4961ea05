package proof

import "strconv"

// Promise is one of the nine guarantees that must always hold, numbered as in
// docs/PROMISES.md.
type Promise int

// The promises.
const (
	RetriesBounded Promise = iota + 1
	ImportantLast
	OwnWholeAnswer
	NotRunIsTrue
	AtMostOnce
	LeavingGetsNoWork
	GracefulCutsNothing
	ConfigNeverReverts
	UpstreamsOutlast
)

var promiseNames = [...]string{
	RetriesBounded:      "retries are bounded over the whole chain",
	ImportantLast:       "important work is shed last",
	OwnWholeAnswer:      "each caller gets the whole answer to its own request",
	NotRunIsTrue:        "not-run is true",
	AtMostOnce:          "an unrepeatable call runs at most once",
	LeavingGetsNoWork:   "a leaving upstream gets no new work",
	GracefulCutsNothing: "a graceful shutdown cuts off nothing",
	ConfigNeverReverts:  "an accepted configuration is soon in force and never reverts",
	UpstreamsOutlast:    "one request can't take its service down",
}

// String returns a short statement of the promise.
func (p Promise) String() string {
	if p > 0 && int(p) < len(promiseNames) {
		return promiseNames[p]
	}
	return "promise " + strconv.Itoa(int(p))
}

// Violation is a broken promise with the evidence for it.
type Violation struct {
	Promise Promise
	// Subject is the affected operation, presentation or host.
	Subject string
	Detail  string
}

// Error implements error.
func (v *Violation) Error() string { return v.Promise.String() + ": " + v.Subject + ": " + v.Detail }

// UnknownMemberError reports that no node runs on a host.
type UnknownMemberError struct{ Host string }

// Error implements error.
func (e *UnknownMemberError) Error() string { return "no member on host " + e.Host }

// UnfinishedError reports that an answer broke off before its caller had
// received all of it.
type UnfinishedError struct{ Cause error }

// Error implements error.
func (e *UnfinishedError) Error() string { return "answer ended early: " + e.Cause.Error() }

// Unwrap returns the error from reading the answer.
func (e *UnfinishedError) Unwrap() error { return e.Cause }
