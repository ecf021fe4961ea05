package call

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a load report that costs the response that carries it, and against a
// malformed one that is taken for a report or for none.
func TestMalformedTargetLoadLeavesTheResponse(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{
		"", ",", "1,2,3,1000", "1,2,3,1000,5,6", "1,2,0,1000,5", "1,2,3,0,5", "-1,2,3,1000,5", "+1,2,3,1000,5",
		" 1,2,3,1000,5", "1,2,3,1e3,5", "1,2,3,1000,1000001", "1,2,99999999,1000,5", "1,2,3,1000,5,", "٣,2,3,1000,5",
		"1,2,3,1000," + strings.Repeat("0", maxTargetLoadLength),
	} {
		h := http.Header{}
		Report{Outcome: Complete}.Inject(h)
		h[HeaderTargetLoad] = []string{value}
		_, err := ExtractTargetLoad(h)
		var bad *HeaderError
		c.Check(errors.As(err, &bad), qt.IsTrue, qt.Commentf("%q", value))
		got, err := ExtractReport(h)
		c.Assert(err, qt.IsNil)
		c.Check(got.Outcome, qt.Equals, Complete)
		c.Check(got.TargetLoad.Valid() || got.TargetLoad.IsZero(), qt.IsFalse, qt.Commentf("%q", value))
	}
	h := http.Header{HeaderTargetLoad: {"1,2,3,1000,5", "1,2,3,1000,5"}}
	_, err := ExtractTargetLoad(h)
	c.Check(err, qt.IsNotNil)
}

// Guards against a load that the next node reads differently, and against a header longer
// than the limit.
func TestTargetLoadRoundTrip(t *testing.T) {
	c := qt.New(t)
	most := MaxTargetLoadFigure
	for _, want := range []TargetLoad{{}, {8, 5, 8, 1500, 40}, {0, 0, 1, 1, 0}, {most, most, most, most, most}} {
		h := http.Header{}
		Report{Outcome: Complete, TargetLoad: want}.Inject(h)
		c.Check(len(h.Get(HeaderTargetLoad)) <= maxTargetLoadLength, qt.IsTrue)
		got, err := ExtractReport(h)
		c.Assert(err, qt.IsNil)
		c.Check(got.TargetLoad, qt.Equals, want)
	}
	h := http.Header{}
	Report{TargetLoad: TargetLoad{Running: -1, Slots: 1, Work: 1}}.Inject(h)
	c.Check(h.Values(HeaderTargetLoad), qt.HasLen, 0)
}

// Whatever is accepted is within its limits and is written back in a form that reads the
// same.
func FuzzExtractTargetLoad(f *testing.F) {
	f.Add("8,5,8,1500,40")
	f.Add("0,0,1,1000000,0000001")
	f.Add("1,2,3,1000,1000001")
	f.Fuzz(func(t *testing.T, value string) {
		got, err := ExtractTargetLoad(http.Header{HeaderTargetLoad: {value}})
		if err != nil {
			return
		}
		again := http.Header{}
		got.Inject(again)
		if back, err := ExtractTargetLoad(again); !got.Valid() || err != nil || back != got {
			t.Fatalf("%q: read %+v, read back %+v, %v", value, got, back, err)
		}
	})
}
