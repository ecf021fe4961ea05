package call

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
)

// Headers with an UpstreamNotice. A node sends them to the node beside the upstream with
// what it last heard, and that node sends them back with what is known now.
const (
	// HeaderUpstreamInstance is the incarnation that the notice is about, escaped like a
	// path segment.
	HeaderUpstreamInstance = "Pollengauge-Upstream-Instance"
	// HeaderUpstreamLimit is the limit as a decimal number. It is absent without one.
	HeaderUpstreamLimit = "Pollengauge-Upstream-Limit"
	// HeaderUpstreamLeaving is 1 if the upstream is about to stop, and else absent.
	HeaderUpstreamLeaving = "Pollengauge-Upstream-Leaving"
)

// MaxInstanceLength is the longest UpstreamNotice.Instance, in bytes.
const MaxInstanceLength = 256

// UpstreamNotice is what one incarnation of an upstream states about itself in its
// responses. The zero value states nothing.
type UpstreamNotice struct {
	// Instance is the incarnation.
	Instance string
	// Limit is how many requests a second the upstream takes from all nodes together.
	// It is valid only if Limited is set.
	Limit   float64
	Limited bool
	// Leaving is set once the upstream is about to stop. It stays set until the end of
	// the incarnation.
	Leaving bool
}

// Inject writes n to h, unless it is the zero value.
func (n UpstreamNotice) Inject(h http.Header) {
	if n == (UpstreamNotice{}) {
		return
	}
	h[HeaderUpstreamInstance] = []string{url.PathEscape(n.Instance)}
	if n.Limited {
		h[HeaderUpstreamLimit] = []string{strconv.FormatFloat(n.Limit, 'g', -1, 64)}
	}
	if n.Leaving {
		h[HeaderUpstreamLeaving] = []string{"1"}
	}
}

// ExtractUpstreamNotice reads the notice that another node wrote. It returns the zero value
// for absent headers, and a *HeaderError for one that is malformed.
func ExtractUpstreamNotice(h http.Header) (UpstreamNotice, error) {
	if len(h[HeaderUpstreamInstance]) == 0 {
		return UpstreamNotice{}, nil
	}
	var n UpstreamNotice
	var err error
	if n.Instance, err = optionalText(h, HeaderUpstreamInstance, MaxInstanceLength); err != nil {
		return UpstreamNotice{}, err
	}
	if len(h[HeaderUpstreamLimit]) > 0 {
		value := fieldOf(h, HeaderUpstreamLimit)
		if n.Limit, n.Limited = ParseLimit(value); !n.Limited {
			return UpstreamNotice{}, &HeaderError{Header: HeaderUpstreamLimit, Value: value, Want: "requests a second, at least 0"}
		}
	}
	leaving, err := optionalNumber(h, HeaderUpstreamLeaving, 1)
	if err != nil {
		return UpstreamNotice{}, err
	}
	n.Leaving = leaving == 1
	return n, nil
}

// ParseLimit parses a limit in requests a second. It returns false for a value that is no
// finite decimal number of at least 0.
func ParseLimit(value string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(value, 64)
	return limit, err == nil && limit >= 0 && !math.IsInf(limit, 0)
}
