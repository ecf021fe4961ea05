package call

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
)

const (
	// KeptIDLength is the longest form of an id in records and logs, and the
	// longest id that a caller can give its request here, in bytes.
	KeptIDLength = 96
	// maxCallPart is the most that an upstream adds to the id of the request that
	// it serves to make that of a call: a separator and an id of its own, in
	// bytes. The longest customary one is a UUID.
	maxCallPart = 1 + 36
	// MaxIDLength is the longest id that is read, in bytes: that of a call at the
	// greatest depth.
	MaxIDLength = KeptIDLength + MaxDepth*maxCallPart
)

// ReadID reads an id from a header. The hop at which a request enters and those
// that it is passed on to read it here, so that none refuses what another took.
func ReadID(h http.Header, name string) (string, error) { return token(h, name, MaxIDLength) }

// KeptID returns the form of an id in records and logs: a longer one than
// KeptIDLength is its begin and a hash of it all.
func KeptID(id string) string {
	if len(id) <= KeptIDLength {
		return id
	}
	const mark, hex, digits = "~", 16, 16
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	sum := strconv.FormatUint(hash.Sum64(), hex)
	tail := mark + strings.Repeat("0", digits-len(sum)) + sum
	return id[:KeptIDLength-len(tail)] + tail
}
