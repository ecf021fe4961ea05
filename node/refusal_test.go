package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
)

// Guards against callers with the same work, deadline and service that are sent back at
// different times because of their profiles' targets, and against hints that leave no time for
// the work.
func TestRetryAfterFollowsTheWorkAndTheTimeLeft(t *testing.T) {
	const work = 200 * time.Millisecond
	for _, test := range []struct {
		name          string
		left          time.Duration
		refused       int
		least, latest time.Duration
	}{
		{"light overload", 5 * time.Second, 0, work, 2 * work},
		{"half refused", 5 * time.Second, 50, work, 3 * work},
		{"nine of ten refused", 5 * time.Second, 90, work, 11 * work},
		{"little time left", 500 * time.Millisecond, 90, work, 500*time.Millisecond - work},
		{"too little time left", 300 * time.Millisecond, 90, work, work},
	} {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				n := f.addRouted("desk", "desk", 10, echo)
				n.shedder.ObservePressure("read", 0.5, n.now())
				n.shedder.ObserveWork("read", int(work.Milliseconds()))
				for i := range 100 {
					n.offered.note(0, i < test.refused, n.now())
				}
				a := n.refuse(call.NotRun, call.ReasonLevelBelow, 0)
				for _, target := range []time.Duration{0, 10 * time.Millisecond, test.left, time.Minute} {
					req := &request{
						call:     call.Context{Profile: "read"},
						profile:  &config.Profile{Target: config.Duration(target)},
						deadline: n.now().Add(test.left),
					}
					earliest, last := time.Hour, time.Duration(0)
					for range 2000 {
						after := n.retryAfter(a, req)
						earliest, last = min(earliest, after), max(last, after)
					}
					margin := (test.latest-test.least)/20 + 1
					f.c.Check(earliest >= test.least && earliest < test.least+margin, qt.IsTrue, qt.Commentf("target %v: from %v", target, earliest))
					f.c.Check(last <= test.latest && last > test.latest-margin, qt.IsTrue, qt.Commentf("target %v: to %v", target, last))
				}
			})
		})
	}
}
