package node

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An upstream answers with a head longer than callers may send. The node used to
// discard the answer as unreadable, and each attempt ended with an unknown fate.
func TestLongHeadsOfAnswersPassEveryHop(t *testing.T) {
	inFleet(t, func(f *fleet) {
		front := f.addRouted("front", "front", 10, echo)
		f.addRouted("desk", "desk", 10, func(w http.ResponseWriter, r *http.Request, next func(string, string, string) (*http.Response, error)) {
			for i := range 400 {
				w.Header().Set("X-Answer-"+strconv.Itoa(i), strings.Repeat("a", 1000))
			}
			echo(w, r, next)
		})
		f.settle()
		got := f.askRouted(front, "/file/x", "one")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.reason))
		f.c.Check(got.header.Get("X-Answer-399"), qt.HasLen, 1000)
	})
}
