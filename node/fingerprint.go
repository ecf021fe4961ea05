package node

import (
	"github.com/cespare/xxhash/v2"

	"pollengauge.dev/quarantine"
)

// contentFingerprint returns a hash of what a request asks of the upstream. Requests
// with the same fingerprint are the same to the upstream, whatever their ids. All
// nodes that a request passes compute the same fingerprint. Of a body that is too long
// to be buffered, only the start counts, because a decision about the request is due
// before the rest has arrived.
func contentFingerprint(req *request) quarantine.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	path := req.url.RawPath
	if path == "" {
		path = req.url.Path
	}
	for _, part := range [...]string{
		req.method, req.call.Host, path, req.url.RawQuery, req.call.Origin,
		req.header.Get("Authorization"), req.header.Get("Cookie"), callerHeaderValue(req),
	} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(partSeparator[:])
	}
	_, _ = digest.Write(req.body.head)
	return quarantine.Fingerprint(digest.Sum64())
}

// partSeparator separates the parts in the hash, so that moving bytes from one part to the
// next changes the fingerprint.
var partSeparator [1]byte

// callerHeaderValue returns the value of the profile's caller header.
func callerHeaderValue(req *request) string {
	if req.profile == nil || req.profile.CallerHeader == "" {
		return ""
	}
	return req.header.Get(req.profile.CallerHeader)
}
