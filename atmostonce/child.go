package atmostonce

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"sync"
)

// ChildKey derives the ID of a call that an upstream makes while it serves the
// call with the key parent: the call with number ordinal, from 0, among its
// calls to service. The result is deterministic, so that a repeated parent call
// yields the same child IDs. Pass it to MintChild, or use it as it is.
func ChildKey(parent, service string, ordinal uint64) string {
	return hashParts(parent, service, "ordinal", strconv.FormatUint(ordinal, 10))
}

// hashParts hashes each part preceded by its length, so that no two lists of
// parts produce the same hash input.
func hashParts(parts ...string) string {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:randomBytes])
}

// Visit numbers the calls that an upstream makes while it serves one request.
// The zero value isn't usable; see NewVisit.
type Visit struct {
	parent string
	mu     sync.Mutex
	next   map[string]uint64
}

// NewVisit starts a visit. parent is the key of the request that is served, or
// its request ID if it has no key.
func NewVisit(parent string) *Visit {
	return &Visit{parent: parent, next: make(map[string]uint64)}
}

// Child returns the ID of the visit's next call to service. If the upstream set
// a key of its own on the call, the ID is derived from that key instead of the
// ordinal, because an upstream that sends a call again with the same key means
// the same call.
func (v *Visit) Child(service, ownKey string) string {
	if ownKey != "" {
		return hashParts(v.parent, service, "key", ownKey)
	}
	v.mu.Lock()
	ordinal := v.next[service]
	v.next[service] = ordinal + 1
	v.mu.Unlock()
	return ChildKey(v.parent, service, ordinal)
}
