package call

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a negative timeout header when a process is paused between computing
// the time left and writing the header, and the deadline passes meanwhile. The next hop
// refused the negative value as malformed, and the caller received a bad-request error.
// The next hop must read that no time is left.
func TestPassedDeadlineIsReadAsZero(t *testing.T) {
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
