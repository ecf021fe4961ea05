package call

import (
	"net/http"
	"strconv"
	"strings"
)

// HeaderTargetLoad, between nodes, is the TargetLoad of the upstream that ran or refused
// the call: running, waiting, slots, work and age, as decimal numbers with commas between
// them. It is absent if the upstream reports nothing.
const HeaderTargetLoad = "Pollengauge-Target-Load"

const (
	// MaxTargetLoadFigure is the highest value of each figure of a TargetLoad. It has
	// maxDigits digits.
	MaxTargetLoadFigure = 1_000_000
	// UsualWork is the TargetLoad.Work of an upstream that works at its usual speed.
	UsualWork         = 1000
	targetLoadFigures = 5
	// maxTargetLoadLength is the longest header value, in bytes: five figures of seven
	// digits and four commas.
	maxTargetLoadLength = 40
)

// TargetLoad is the last load report of an upstream, as the node beside it states it to
// other nodes. The zero value means that the upstream reported nothing.
type TargetLoad struct {
	// Running and Waiting count the requests that the upstream works on and those in its
	// own queue, of Slots that it can work on at once.
	Running, Waiting, Slots int
	// Work is how long work takes at the upstream at that moment, in thousandths of the
	// usual time.
	Work int
	// Age is how old the report was when the response was written, in milliseconds.
	Age int
}

// malformedTargetLoad stands for a header value that can't be read.
var malformedTargetLoad = TargetLoad{Slots: -1}

// IsZero reports whether l states nothing.
func (l TargetLoad) IsZero() bool { return l == TargetLoad{} }

// Valid reports whether every figure is within its limits. The Report of a response whose
// header was malformed has a TargetLoad that is neither zero nor valid, so that it can be
// counted.
func (l TargetLoad) Valid() bool {
	return min(l.Running, l.Waiting, l.Age) >= 0 && min(l.Slots, l.Work) >= 1 &&
		max(l.Running, l.Waiting, l.Slots, l.Work, l.Age) <= MaxTargetLoadFigure
}

// Inject writes l to h if it is valid.
func (l TargetLoad) Inject(h http.Header) {
	if !l.Valid() {
		return
	}
	value := make([]byte, 0, maxTargetLoadLength)
	for i, figure := range [targetLoadFigures]int{l.Running, l.Waiting, l.Slots, l.Work, l.Age} {
		if i > 0 {
			value = append(value, ',')
		}
		value = strconv.AppendInt(value, int64(figure), 10)
	}
	h[HeaderTargetLoad] = []string{string(value)}
}

// ExtractTargetLoad reads the load that another node stated. It returns the zero value if
// the header is absent, and a *HeaderError if it is malformed.
func ExtractTargetLoad(h http.Header) (TargetLoad, error) {
	if len(h[HeaderTargetLoad]) == 0 {
		return TargetLoad{}, nil
	}
	value := fieldOf(h, HeaderTargetLoad)
	if l, ok := parseTargetLoad(value); ok && len(h[HeaderTargetLoad]) == 1 {
		return l, nil
	}
	return TargetLoad{}, &HeaderError{Header: HeaderTargetLoad, Value: value, Want: "running, waiting, slots, work and age"}
}

func parseTargetLoad(value string) (TargetLoad, bool) {
	if len(value) > maxTargetLoadLength {
		return TargetLoad{}, false
	}
	var figures [targetLoadFigures]int
	for i := range figures {
		digits, rest, more := strings.Cut(value, ",")
		figure, ok := parseDigits(digits)
		if !ok || more != (i < targetLoadFigures-1) {
			return TargetLoad{}, false
		}
		figures[i], value = figure, rest
	}
	l := TargetLoad{Running: figures[0], Waiting: figures[1], Slots: figures[2], Work: figures[3], Age: figures[4]}
	return l, l.Valid()
}

// targetLoadOf reads the load of a response. A malformed value must not cost the response,
// so it is marked instead of returned as an error.
func targetLoadOf(h http.Header) TargetLoad {
	l, err := ExtractTargetLoad(h)
	if err != nil {
		return malformedTargetLoad
	}
	return l
}
