package upstream

import (
	"strconv"
	"strings"
)

// Headers that link an execution to the client's operation and to the calling
// execution. They are ordinary application headers that nodes don't interpret.
const (
	// HeaderOperation carries a Stamp.
	HeaderOperation = "X-Operation"
	// headerCaller carries the ledger ID of the calling execution. It is
	// absent from a client's call.
	headerCaller = "X-Caller"
)

const decimal = 10

// Stamp identifies one attempt of a client's operation.
type Stamp struct {
	Operation string
	// Try counts the client's attempts from 1.
	Try int
}

// String returns "operation.try".
func (s Stamp) String() string {
	return s.Operation + "." + strconv.Itoa(s.Try)
}

// ParseStamp is the inverse of String. It returns a *StampError if the stamp is
// malformed.
func ParseStamp(text string) (Stamp, error) {
	dot := strings.LastIndexByte(text, '.')
	if dot <= 0 {
		return Stamp{}, &StampError{Text: text}
	}
	try, err := strconv.Atoi(text[dot+1:])
	if err != nil || try < 1 {
		return Stamp{}, &StampError{Text: text}
	}
	return Stamp{Operation: text[:dot], Try: try}, nil
}
