package atmostonce

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"pollengauge.dev/call"
)

const (
	keyPrefix        = "pg1."
	keyParts         = 5
	randomBytes      = 16
	randomLength     = 2 * randomBytes
	maxServiceLength = 63
	maxMintDigits    = 10
)

// Incarnation identifies one run of a node process: 128 random bits as 32
// lower-case hexadecimal digits. It is never reused after the process exits.
type Incarnation string

// NewIncarnation generates an incarnation from r. It panics with an
// *EntropyError if r fails, because two nodes that share an incarnation could
// both run a key.
func NewIncarnation(r io.Reader) Incarnation { return Incarnation(randomHex(r)) }

// Valid reports whether i has the form that NewIncarnation returns.
func (i Incarnation) Valid() bool { return isRandomHex(string(i)) }

// Key is an idempotency key. A minted key has all fields set; a caller-supplied
// key has only its text.
type Key struct {
	Service string
	// Home is the owner: the only incarnation that may dispatch the key.
	Home Incarnation
	// Minted is the mint time by the minter's clock, in Unix seconds.
	Minted int64
	Random string
	text   string
}

// String returns the text of the key as it is sent in a header.
func (k Key) String() string { return k.text }

// Mint creates a key that is owned by inc, a node of service. It panics with an
// *EntropyError if r fails.
func Mint(service string, inc Incarnation, now time.Time, r io.Reader) Key {
	return mint(service, inc, now, randomHex(r))
}

// MintChild creates the key of a call that an upstream makes while it serves
// another call. id is the result of ChildKey, and inc is the node of service
// that receives the call. The same id, node and second yield the same key.
func MintChild(service string, inc Incarnation, now time.Time, id string) Key {
	return mint(service, inc, now, id)
}

func mint(service string, inc Incarnation, now time.Time, random string) Key {
	seconds := max(now.Unix(), 0)
	text := keyPrefix + service + "." + string(inc) + "." + strconv.FormatInt(seconds, 10) + "." + random
	return Key{Service: service, Home: inc, Minted: seconds, Random: random, text: text}
}

// ParseKey parses the text of a key. minted reports whether the key names an
// owner. Text that has the prefix of a minted key but isn't a valid one is
// rejected with a *KeyError: if a damaged key were accepted as caller-supplied,
// its call could run a second time.
func ParseKey(s string) (key Key, minted bool, err error) {
	if !call.ValidToken(s, call.MaxKeyLength) {
		return Key{}, false, &KeyError{Key: s, Want: "1 to " + strconv.Itoa(call.MaxKeyLength) + " visible ASCII characters"}
	}
	if !strings.HasPrefix(s, keyPrefix) {
		return Key{text: s}, false, nil
	}
	parts := strings.Split(s, ".")
	if len(parts) != keyParts {
		return Key{}, false, &KeyError{Key: s, Want: "five parts divided by dots"}
	}
	key = Key{Service: parts[1], Home: Incarnation(parts[2]), Random: parts[4], text: s}
	if !ValidService(key.Service) {
		return Key{}, false, &KeyError{Key: s, Want: "a service of lower-case letters, digits and hyphens"}
	}
	if !key.Home.Valid() || !isRandomHex(key.Random) {
		return Key{}, false, &KeyError{Key: s, Want: "32 lower-case hexadecimal digits for incarnation and random part"}
	}
	seconds, ok := parseSeconds(parts[3])
	if !ok {
		return Key{}, false, &KeyError{Key: s, Want: "unix seconds without sign or leading zero"}
	}
	key.Minted = seconds
	return key, true, nil
}

// ValidService reports whether s is a valid service name in a minted key: 1 to
// 63 lower-case letters, digits and hyphens.
func ValidService(s string) bool {
	if s == "" || len(s) > maxServiceLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// parseSeconds accepts only canonical decimal numbers, so that a key has only
// one valid text.
func parseSeconds(s string) (int64, bool) {
	if s == "" || len(s) > maxMintDigits || (len(s) > 1 && s[0] == '0') {
		return 0, false
	}
	var n int64
	for i := range len(s) {
		digit := s[i] - '0'
		if digit > 9 {
			return 0, false
		}
		n = n*10 + int64(digit)
	}
	return n, true
}

func randomHex(r io.Reader) string {
	var b [randomBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		panic(&EntropyError{Err: err})
	}
	return hex.EncodeToString(b[:])
}

func isRandomHex(s string) bool {
	if len(s) != randomLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'f') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}
