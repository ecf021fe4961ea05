package node

import (
	"github.com/cespare/xxhash/v2"

	"pollengauge.dev/quarantine"
)

// contentFingerprint stands for what the upstream is asked: two requests with the same
// one are the same to it, whatever their ids. It is the same at every node that the
// request passes. Of a body that is too long to be held, its begin alone counts: a decision about the request
// is due before the rest has come.
func contentFingerprint(req *request) quarantine.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	path := req.url.RawPath
	if path == "" {
		path = req.url.Path
	}
	for _, part := range [...]string{
		req.method, req.call.Host, path, req.url.RawQuery, req.call.Origin,
		req.header.Get("Authorization"), req.header.Get("Cookie"), callerNamed(req),
	} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(partEnd[:])
	}
	_, _ = digest.Write(req.body.head)
	return quarantine.Fingerprint(digest.Sum64())
}

// partEnd keeps one part from running into the next.
var partEnd [1]byte

// callerNamed is the caller by the profile's header for it.
func callerNamed(req *request) string {
	if req.profile == nil || req.profile.CallerHeader == "" {
		return ""
	}
	return req.header.Get(req.profile.CallerHeader)
}
