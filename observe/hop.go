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
	// Outbound is a call made by the upstream of the node, including all attempts.
	Outbound Kind = "outbound"
	// Attempt is one attempt of an outbound call at one target.
	Attempt Kind = "attempt"
)

// Decision is the way in which the node handled the call.
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
	// Forwarded: passed on to the owner of its key.
	Forwarded Decision = "forwarded"
	// Stale: answered with a stored answer instead of a fresh one (brownout).
	Stale Decision = "stale"
)

// Hop is the record of one step of one request. The explain screen and the
// exported spans are built from hops.
type Hop struct {
	// At is the start time of the step by the node's own clock.
	At           time.Time `json:"at"`
	RequestID    string    `json:"request"`
	TraceID      TraceID   `json:"trace"`
	SpanID       SpanID    `json:"span"`
	ParentSpanID SpanID    `json:"parent"`
	// Sampled is the sampled flag of the trace. Only sampled hops are exported.
	Sampled bool   `json:"sampled,omitempty"`
	Node    string `json:"node"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Kind    Kind   `json:"kind"`
	Profile string `json:"profile"`
	// Depth is the number of hops downstream of the root, which has 0.
	Depth int `json:"depth"`
	// Level is the level of the request.
	Level call.Level `json:"level"`
	// AdmitLevel is the admission level in force on the node.
	AdmitLevel call.Level `json:"admitLevel"`
	// LevelBelow is the highest admission level known of downstream hops.
	LevelBelow call.Level   `json:"levelBelow"`
	Decision   Decision     `json:"decision"`
	Reason     call.Reason  `json:"reason,omitempty"`
	Outcome    call.Outcome `json:"outcome"`
	// Waited is the time spent in the queue before the decision.
	Waited time.Duration `json:"waitedNs"`
	// Took is the time from At to the answer, including Waited.
	Took time.Duration `json:"tookNs"`
	// Target is the service that an outbound step calls, or the member that an
	// attempt calls: service/id, the id cut to 12 characters.
	Target string `json:"target,omitempty"`
	// Attempt is the number of the attempt, from 1; 0 where it does not apply.
	Attempt int `json:"attempt,omitempty"`
	// CreditIn is the number of extra attempts that the step was granted.
	CreditIn int `json:"creditIn"`
	// CreditLeft is the part of CreditIn that the step returned.
	CreditLeft int `json:"creditLeft"`
	// Ended is the verdict of the retry module that ruled out a further attempt;
	// empty where no such decision was needed.
	Ended string `json:"ended,omitempty"`
	// Key is the idempotency key as returned by RedactKey.
	Key string `json:"key,omitempty"`
	// Fingerprint identifies the content of a request whose upstream crashed.
	// Requests with the same content have the same fingerprint, whatever their ids.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Load is the node's load in thousandths of its limit.
	Load     int `json:"load"`
	Limit    int `json:"limit"`
	InFlight int `json:"inFlight"`
	// Blocked is the number of calls of InFlight that wait for calls to
	// downstream services, at the time of a refusal.
	Blocked int `json:"blocked,omitempty"`
	Queue   int `json:"queue"`
	// Pressure is the downstream pressure reported with the answer: the share of
	// the requests that should not begin, in thousandths.
	Pressure int `json:"pressure,omitempty"`
	// Status is the HTTP status of the response; 0 if there was none.
	Status int `json:"status,omitempty"`
	// ConfigVersion is the version of the configuration in force on the node.
	ConfigVersion uint64 `json:"configVersion"`
}

// hopFields is Hop without its methods.
type hopFields Hop

// hopJSON encodes the outcome by its name for operators and scripts.
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

// RedactKey returns a form of an idempotency key that is safe to show: up to its
// first four characters, its length and a 32-bit hash. Anyone with the complete
// key can fetch the stored answer, so screens and logs must not contain it. Equal
// keys have the same redacted form on every node.
func RedactKey(key string) string {
	if key == "" {
		return ""
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	prefix := key[:min(shownKeyPrefix, len(key)/shownKeyPrefix)]
	return prefix + "*" + strconv.Itoa(len(key)) + "#" + strconv.FormatUint(uint64(hash.Sum32()), hexBase)
}
