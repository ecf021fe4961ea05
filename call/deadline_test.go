package call

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process stands still between the look at the clock and the writing of the
// header, and the deadline passes. The next hop read a time below 0 as a broken
// header, and the caller was told that its request is a bad one. It has to read
// that nothing is left.
func TestPassedDeadlinesAreReadAsNothingLeft(t *testing.T) {
	c := qt.New(t)
	for sent, want := range map[time.Duration]time.Duration{
		-3 * time.Second:        0,
		-time.Microsecond:       0,
		1500 * time.Microsecond: time.Millisecond,
		MaxTimeout + time.Hour:  MaxTimeout,
	} {
		h := http.Header{}
		Context{RequestID: "r1", Profile: "filing", Timeout: sent}.Inject(h)
		got, err := Extract(h)
		c.Check(err, qt.IsNil, qt.Commentf("%s", sent))
		c.Check(got.Timeout, qt.Equals, want, qt.Commentf("%s", sent))
	}
}
