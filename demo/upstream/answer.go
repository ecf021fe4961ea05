package upstream

import (
	"bytes"
	"strings"
)

// Answer holds the fields that identify a complete answer.
type Answer struct {
	Stamp   Stamp
	Service string
	Route   string
}

const (
	endMark = "end "
	// The filler lines make an answer span several reads, so that a
	// truncation in the middle is likely to be detected.
	fillerLine  = "................................................................\n"
	fillerLines = 32
)

// Bytes renders the answer: a first line with the stamp, the service and the
// route, filler lines, and a last line that repeats the stamp. A reader can
// distinguish a crossed answer (another operation) from a truncated one (no
// last line) even if the transport ended cleanly.
func (a Answer) Bytes() []byte {
	stamp := a.Stamp.String()
	var b bytes.Buffer
	b.WriteString(stamp + " " + a.Service + " " + a.Route + "\n")
	for range fillerLines {
		b.WriteString(fillerLine)
	}
	b.WriteString(endMark + stamp + "\n")
	return b.Bytes()
}

// ParseAnswer is the inverse of Bytes. It returns an *AnswerError if the answer
// is incomplete, and a *StampError if its stamp is malformed.
func ParseAnswer(body []byte) (Answer, error) {
	head, _, found := strings.Cut(string(body), "\n")
	fields := strings.Fields(head)
	if !found || len(fields) != 3 {
		return Answer{}, &AnswerError{Length: len(body), Missing: "first line"}
	}
	stamp, err := ParseStamp(fields[0])
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{Stamp: stamp, Service: fields[1], Route: fields[2]}
	if !bytes.Equal(body, answer.Bytes()) {
		return Answer{}, &AnswerError{Length: len(body), Missing: "middle or last line"}
	}
	return answer, nil
}
