package call

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against refusing the ids of deeply nested calls. Upstreams build the id of a
// call from that of its request, so ids grow with the depth. Nodes once refused the ids
// from the fifth nested call on as bad requests, and the requests upstream of them
// failed too. Ids must be accepted at every permitted depth and by both kinds of hop,
// but must have a bound.
func TestIDsOfDeepestCallsAreAccepted(t *testing.T) {
	c := qt.New(t)
	for _, part := range []string{strings.Repeat("a", 16), strings.Repeat("u", 36)} {
		id := strings.Repeat("r", MaxShortIDLength)
		for depth := range MaxDepth {
			id += "." + part
			first, err := ReadID(http.Header{"X-Id": {id}}, "X-Id")
			c.Assert(err, qt.IsNil, qt.Commentf("depth %d", depth+1))
			h := http.Header{}
			Context{RequestID: first, Profile: "filing"}.Inject(h)
			next, err := Extract(h)
			c.Assert(err, qt.IsNil, qt.Commentf("depth %d", depth+1))
			c.Check(next.RequestID, qt.Equals, id)
		}
	}
	for _, id := range []string{"", "a b", strings.Repeat("r", MaxIDLength+1)} {
		_, err := ReadID(http.Header{"X-Id": {id}}, "X-Id")
		c.Check(err, qt.ErrorAs, new(*HeaderError))
	}
}

// Guards against long ids in records, which are stored by the thousand, and in log
// lines, which are written for each request. The form of an id that they contain must
// be short, the same at every hop, and different for different ids.
func TestShortIDsAreBoundedAndDistinct(t *testing.T) {
	c := qt.New(t)
	root := strings.Repeat("r", MaxShortIDLength)
	c.Check(ShortID("r1"), qt.Equals, "r1")
	c.Check(ShortID(root), qt.Equals, root)
	one, two := ShortID(root+".a"), ShortID(root+".b")
	c.Check(one, qt.HasLen, MaxShortIDLength)
	c.Check(one, qt.Not(qt.Equals), two)
	c.Check(ShortID(root+".a"), qt.Equals, one)
	c.Check(ShortID(one), qt.Equals, one)
	c.Check(ValidToken(one, MaxShortIDLength), qt.IsTrue)
}
