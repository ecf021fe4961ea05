package quarantine

import "strconv"

// Fingerprint stands for the content of a request. The same content has the same one
// at every member.
type Fingerprint uint64

const (
	fingerprintBase = 16
	fingerprintBits = 64
)

// String returns the hexadecimal form that ParseFingerprint reads.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), fingerprintBase) }

// ParseFingerprint reads the form that String gives. Anything else is a
// *FingerprintError.
func ParseFingerprint(s string) (Fingerprint, error) {
	value, err := strconv.ParseUint(s, fingerprintBase, fingerprintBits)
	if err != nil {
		return 0, &FingerprintError{Value: s}
	}
	return Fingerprint(value), nil
}

// FingerprintError tells of a text that is no Fingerprint.
type FingerprintError struct{ Value string }

// Error implements error.
func (e *FingerprintError) Error() string {
	return "fingerprint " + strconv.Quote(e.Value) + ": want 1 to 16 hexadecimal digits"
}

// Record is what members tell each other of one request.
type Record struct {
	Fingerprint Fingerprint
	// Ends is how many upstreams in turn have ended under the request, 0 once it
	// is cleared.
	Ends int
	// Stamp orders the records of one request: a later word has a higher one.
	Stamp uint64
}

// MaxEnds is where the count of ends stops.
const MaxEnds = 100

// supersedes reports whether r is the later word. Of two words that were given at the
// same time, without knowing of each other, the one that blames more holds.
func (r Record) supersedes(other Record) bool {
	if r.Stamp != other.Stamp {
		return r.Stamp > other.Stamp
	}
	return r.Ends > other.Ends
}
