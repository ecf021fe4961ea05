package call

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
)

const (
	// MaxShortIDLength is the maximum length in bytes of an id in records and logs, and of
	// an id that a caller may assign to its request.
	MaxShortIDLength = 96
	// maxIDSuffix is the maximum number of bytes that an upstream appends to its
	// request's id to make the id of a call: a separator and an id of its own. The
	// longest customary one is a UUID.
	maxIDSuffix = 1 + 36
	// MaxIDLength is the maximum length in bytes of an id that is accepted: that of a
	// call at the greatest depth.
	MaxIDLength = MaxShortIDLength + MaxDepth*maxIDSuffix
)

// ReadID reads an id from a header. Both the hop where a request enters and the hops
// that it is forwarded to use this function, so that none refuses an id that another
// has accepted.
func ReadID(h http.Header, name string) (string, error) { return token(h, name, MaxIDLength) }

// ShortID returns the form of an id in records and logs. An id longer than MaxShortIDLength
// is shortened to its beginning and a hash of the complete id.
func ShortID(id string) string {
	if len(id) <= MaxShortIDLength {
		return id
	}
	const mark, hex, digits = "~", 16, 16
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	sum := strconv.FormatUint(hash.Sum64(), hex)
	tail := mark + strings.Repeat("0", digits-len(sum)) + sum
	return id[:MaxShortIDLength-len(tail)] + tail
}
