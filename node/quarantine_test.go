package node

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fatalPath is a read under which every upstream ends.
const fatalPath = "/browse/" + fatalPart

// Guards against handing a request that ends its upstreams to one after the other,
// while the callers of innocent requests get no answer.
func TestRequestThatEndsUpstreamsIsHeldBack(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.addMortals(3)
		innocent := m.call(10*time.Millisecond, func(i int) string { return "/browse/" + strconv.Itoa(i) })
		culprit := m.call(1500*time.Millisecond, func(int) string { return fatalPath })
		time.Sleep(time.Minute)
		culprit.stop()
		innocent.stop()
		f.c.Check(m.ended() <= 3, qt.IsTrue, qt.Commentf("%d upstreams ended", m.ended()))
		f.c.Check(m.reachedAfter(fatalPath, 3, 3*time.Second) <= 3, qt.IsTrue)
		f.c.Check(innocent.share() > 0.98, qt.IsTrue, qt.Commentf("%.3f of the innocent requests served", innocent.share()))
	})
}
