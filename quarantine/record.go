package quarantine

import "strconv"

// Fingerprint is a hash of a request's content. The same content has the same
// Fingerprint at every member.
type Fingerprint uint64

const (
	fingerprintBase = 16
	fingerprintBits = 64
)

// String returns the hexadecimal form that ParseFingerprint reads.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), fingerprintBase) }

// ParseFingerprint parses the form that String returns. For any other text the error is
// a *FingerprintError.
func ParseFingerprint(s string) (Fingerprint, error) {
	value, err := strconv.ParseUint(s, fingerprintBase, fingerprintBits)
	if err != nil {
		return 0, &FingerprintError{Value: s}
	}
	return Fingerprint(value), nil
}

// FingerprintError reports a text that is not a Fingerprint.
type FingerprintError struct{ Value string }

// Error implements error.
func (e *FingerprintError) Error() string {
	return "fingerprint " + strconv.Quote(e.Value) + ": want 1 to 16 hexadecimal digits"
}

// Record is the state of one request as members send it to each other.
type Record struct {
	Fingerprint Fingerprint
	// Ends is the number of upstreams in succession that have crashed under the
	// request, 0 once it is cleared.
	Ends int
	// Stamp orders the records of one request: a newer record has a higher one.
	Stamp uint64
}

// MaxEnds is the highest number of crashes that is counted.
const MaxEnds = 100

// supersedes reports whether r replaces other. Of two records that were created
// concurrently, with the same stamp, the one with more crashes wins.
func (r Record) supersedes(other Record) bool {
	if r.Stamp != other.Stamp {
		return r.Stamp > other.Stamp
	}
	return r.Ends > other.Ends
}
