package node

import (
	"net/http"
	"net/url"
	"strings"

	"pollengauge.dev/config"
)

// profileFor validates the target of a request and returns its profile.
//
// An upstream may interpret a path differently than the node that chose the profile,
// as with /browse/..%2ffilings or //filings. A filing would then run under a profile
// that allows a second run, or browsing would be ranked before filings. A path is
// therefore refused if another common interpretation would choose another profile. A
// path for which all agree is forwarded as received.
func (n *Node) profileFor(service string, r *http.Request) (*config.Profile, error) {
	if err := checkTarget(r); err != nil {
		return nil, err
	}
	current := n.config.Current()
	profile := current.Match(service, r.Method, r.URL.Path)
	for _, reading := range pathInterpretations(r.URL) {
		if current.Match(service, r.Method, reading) != profile {
			return nil, &PathError{Path: r.URL.EscapedPath()}
		}
	}
	return profile, nil
}

// checkTarget refuses methods and request targets that can't be carried as a call.
func checkTarget(r *http.Request) error {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace:
		// TRACE would return the context headers to the caller.
		return &MethodError{Method: r.Method}
	}
	if r.URL.Opaque != "" || (r.URL.Path != "" && r.URL.Path[0] != '/') {
		return &PathError{Path: r.RequestURI}
	}
	return nil
}

// pathInterpretations returns the paths that servers may read in place of the decoded and
// cleaned one, which Match uses. The list is empty for most paths, since they have only
// one interpretation.
func pathInterpretations(u *url.URL) []string {
	path := u.Path
	if u.RawPath == "" && !strings.ContainsAny(path, `%\;`) && !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		return nil
	}
	list := []string{
		pathUnresolved(path),
		pathUnresolved(segmentsDecoded(u.EscapedPath())),
		withoutParameters(path),
		strings.ReplaceAll(path, `\`, "/"),
	}
	if again, err := url.PathUnescape(path); err == nil {
		list = append(list, again)
	}
	return list
}

// pathUnresolved returns the path as interpreted by a server that resolves neither dot
// segments nor doubled slashes: they become ordinary segments.
func pathUnresolved(path string) string {
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if i > 0 && (segment == "" && i < len(segments)-1 || segment == "." || segment == "..") {
			segments[i] = "_"
		}
	}
	return strings.Join(segments, "/")
}

// segmentsDecoded returns the path as interpreted by a server that splits it before it
// decodes the segments: an encoded slash doesn't separate segments.
func segmentsDecoded(escaped string) string {
	segments := strings.Split(escaped, "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			decoded = segment
		}
		segments[i] = strings.ReplaceAll(decoded, "/", "_")
	}
	return strings.Join(segments, "/")
}

// withoutParameters removes ";name=value" from each segment, as servers with path
// parameters do before they look up a handler.
func withoutParameters(path string) string {
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return strings.Join(segments, "/")
}
