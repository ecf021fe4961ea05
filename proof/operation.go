package proof

import (
	"net/http"
	"strconv"
	"strings"
)

// Headers that identify the operation, the presentation and the step of a
// request to the test's callers and upstreams. They are not part of the
// system under test: nodes forward them unchanged.
const (
	headerOperation    = "X-Operation"
	headerPresentation = "X-Presentation"
	headerStep         = "X-Step"
)

// rootStep is the step of the root call, which the external caller makes.
const rootStep = "0"

// Call is one call of an operation, with the downstream calls that its upstream
// makes in order to answer it.
type Call struct {
	Service    string
	Method     string
	Path       string
	Downstream []Call
	// Parallel makes the downstream calls concurrently rather than in sequence.
	Parallel bool
	// OwnKey is an idempotency key that the calling upstream chooses and sends.
	OwnKey string
	// RequestBytes and AnswerBytes are the lengths of the padding in the bodies
	// of the request and of the answer.
	RequestBytes int
	AnswerBytes  int
	// Trailer adds a trailer to the answer.
	Trailer bool
}

// Operation is a unit of work that a caller requests. The caller may present it
// several times, as retries or to several nodes.
type Operation struct {
	ID   string
	Root Call
	// Unrepeatable reports that the operation's profile allows at most one
	// execution per idempotency key.
	Unrepeatable bool
	// Credit is the number of retries that the profile allows one request over
	// its entire call chain.
	Credit int
}

// at returns the call of a step, and whether the operation has that step: "0" is
// the root, "0.1" the second downstream call of the root.
func (o *Operation) at(step string) (Call, bool) {
	c := o.Root
	parts := strings.Split(step, ".")
	for _, part := range parts[1:] {
		i, err := strconv.Atoi(part)
		if err != nil || i < 0 || i >= len(c.Downstream) {
			return Call{}, false
		}
		c = c.Downstream[i]
	}
	return c, parts[0] == rootStep
}

// runsAtMostOnce reports whether a step may run at most once for each run of the
// operation: neither the step's call nor any call upstream of it in the call
// tree is idempotent.
func (o *Operation) runsAtMostOnce(step string) bool {
	for ; step != ""; step = parentStep(step) {
		if c, ok := o.at(step); !ok || c.Method != http.MethodPost {
			return false
		}
	}
	return true
}

// trailer returns the value of the trailer that a call's answer must end with,
// or "" if the call has none.
func (c Call) trailer(operation string) string {
	if !c.Trailer {
		return ""
	}
	return "end of " + operation
}

// childStep returns the step of the i-th downstream call of a step.
func childStep(step string, i int) string { return step + "." + strconv.Itoa(i) }

// parentStep returns the step of the calling call, or "" for the root.
func parentStep(step string) string {
	i := strings.LastIndexByte(step, '.')
	if i < 0 {
		return ""
	}
	return step[:i]
}

// answer returns the complete answer of one call, given the answers of its
// downstream calls.
func (o *Operation) answer(c Call, step string, downstream []string) string {
	return c.Service + " " + o.ID + " " + step + " [" + strings.Join(downstream, ",") + "]" + padding(o.ID, c.AnswerBytes)
}

// completeAnswer returns the complete answer that the caller of the operation must
// receive.
func (o *Operation) completeAnswer() string { return o.completeAnswerOf(o.Root, rootStep) }

func (o *Operation) completeAnswerOf(c Call, step string) string {
	downstream := make([]string, len(c.Downstream))
	for i, child := range c.Downstream {
		downstream[i] = o.completeAnswerOf(child, childStep(step, i))
	}
	return o.answer(c, step, downstream)
}

// request returns the request body of a call, which is empty for GET and HEAD.
func (o *Operation) request(c Call, step string) string {
	if c.Method == http.MethodGet || c.Method == http.MethodHead {
		return ""
	}
	return "request " + o.ID + " " + step + padding(o.ID, c.RequestBytes)
}

// padding repeats a text with a running number up to a length. A body with a
// missing or duplicated piece, or with a piece of another operation's body,
// then differs from the expected one.
func padding(text string, length int) string {
	if length <= 0 {
		return ""
	}
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		b.WriteString(" " + text + "/" + strconv.Itoa(i))
	}
	return b.String()[:length]
}
