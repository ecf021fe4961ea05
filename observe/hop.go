package observe

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"pollengauge.dev/call"
)

// Kind is the step of a call that a Hop records.
type Kind string

// The kinds of hops.
const (
	// Root is the first step of a request, on the node where it enters.
	Root Kind = "root"
	// Inbound is a call served by the upstream of the node.
	Inbound Kind = "inbound"
	// Outbound is a call made by the upstream of the node, with all its attempts.
	Outbound Kind = "outbound"
	// Attempt is one try of an outbound call, at one target.
	Attempt Kind = "attempt"
)

// Decision is what the node did with the call.
type Decision string

// The decisions.
const (
	// Admitted: dispatched without waiting.
	Admitted Decision = "admitted"
	// Delayed: dispatched after waiting in the queue.
	Delayed Decision = "delayed"
	// Refused: not dispatched; the outcome is not-run.
	Refused Decision = "refused"
	// Replayed: answered from the stored answer of the same key.
	Replayed Decision = "replayed"
	// Forwarded: passed on to the home of its key.
	Forwarded Decision = "forwarded"
	// Stale: answered with a stored answer in place of a fresh one.
	Stale Decision = "stale"
)

// Hop is the record of one step of one request. It is the source of the
// explain screen and of exported spans.
type Hop struct {
	// At is the start of the step by the node's own clock.
	At           time.Time `json:"at"`
	RequestID    string    `json:"request"`
	TraceID      TraceID   `json:"trace"`
	SpanID       SpanID    `json:"span"`
	ParentSpanID SpanID    `json:"parent"`
	// Sampled is the sampled flag of the trace; only sampled hops are exported.
	Sampled bool   `json:"sampled,omitempty"`
	Node    string `json:"node"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Kind    Kind   `json:"kind"`
	Profile string `json:"profile"`
	// Depth counts hops below the root, which is 0.
	Depth int `json:"depth"`
	// Level is the request's own level.
	Level call.Level `json:"level"`
	// AdmitLevel is the admission level in force on the node.
	AdmitLevel call.Level `json:"admitLevel"`
	// LevelBelow is the highest admission level known of deeper hops.
	LevelBelow call.Level   `json:"levelBelow"`
	Decision   Decision     `json:"decision"`
	Reason     call.Reason  `json:"reason,omitempty"`
	Outcome    call.Outcome `json:"outcome"`
	// Waited is the time in the queue before the decision.
	Waited time.Duration `json:"waitedNs"`
	// Took is the time from At to the answer, Waited included.
	Took time.Duration `json:"tookNs"`
	// Target is the service that an outbound step calls, or the member that an
	// attempt calls: service/id, the id cut to 12 characters.
	Target string `json:"target,omitempty"`
	// Attempt counts tries from 1; 0 where it does not apply.
	Attempt int `json:"attempt,omitempty"`
	// CreditIn is the number of extra attempts that the step was given.
	CreditIn int `json:"creditIn"`
	// CreditLeft is the part of CreditIn that it gave back.
	CreditLeft int `json:"creditLeft"`
	// Ended is why the step made no further attempt: the word of the retry
	// module's verdict; empty where there was nothing to decide.
	Ended string `json:"ended,omitempty"`
	// Key is the idempotency key as given by RedactKey.
	Key string `json:"key,omitempty"`
	// Fingerprint stands for the content of a request whose upstream ended: the same
	// request has the same one, whatever its id.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Load is the node's load in thousandths of its limit.
	Load     int `json:"load"`
	Limit    int `json:"limit"`
	InFlight int `json:"inFlight"`
	// Blocked is the part of InFlight that waits for calls to deeper services,
	// as seen by a refusal.
	Blocked int `json:"blocked,omitempty"`
	Queue   int `json:"queue"`
	// Pressure is the share of the requests that should not begin, in
	// thousandths, as the answer told it.
	Pressure int `json:"pressure,omitempty"`
	// Status is the HTTP status of the answer; 0 when there was none.
	Status int `json:"status,omitempty"`
	// ConfigVersion is that of the profile set in force on the node.
	ConfigVersion uint64 `json:"configVersion"`
}

// hopFields is Hop without its methods.
type hopFields Hop

// hopJSON writes the outcome by its name, which operators and scripts read.
type hopJSON struct {
	hopFields
	Outcome string `json:"outcome"`
}

// MarshalJSON implements json.Marshaler.
func (h Hop) MarshalJSON() ([]byte, error) {
	return json.Marshal(hopJSON{hopFields: hopFields(h), Outcome: h.Outcome.String()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Hop) UnmarshalJSON(data []byte) error {
	var decoded hopJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	outcome, err := call.ParseOutcome(decoded.Outcome)
	if err != nil {
		return err
	}
	*h = Hop(decoded.hopFields)
	h.Outcome = outcome
	return nil
}

const (
	shownKeyPrefix = 4
	hexBase        = 16
)

// RedactKey returns a form of an idempotency key that is fit to show: its
// first four characters, its length and a 32-bit hash. Whoever knows a whole
// key can fetch the stored answer, so screens and logs must not carry one;
// equal keys still look equal on every node.
func RedactKey(key string) string {
	if key == "" {
		return ""
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	prefix := key[:min(shownKeyPrefix, len(key)/shownKeyPrefix)]
	return prefix + "*" + strconv.Itoa(len(key)) + "#" + strconv.FormatUint(uint64(hash.Sum32()), hexBase)
}
