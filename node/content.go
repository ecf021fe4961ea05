package node

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprintOf stands for the content of a request: two requests with the same one
// are the same to the upstream, whatever their ids.
type fingerprintOf uint64

// String returns the form used in logs and by the command line.
func (f fingerprintOf) String() string { return strconv.FormatUint(uint64(f), 16) }

// contentFingerprint is the same at every node that the request passes. Of a body
// that is too long to be held, its begin alone counts: a decision about the request
// is due before the rest has come.
func contentFingerprint(req *request) fingerprintOf {
	digest := xxhash.New()
	for _, part := range []string{req.method, req.call.Host, req.url.RequestURI(), req.call.Origin, identityOf(req)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.body.head)
	return fingerprintOf(digest.Sum64())
}
