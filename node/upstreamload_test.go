package node

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// Guards against a load that operators still see long after the upstream reported it, and
// against malformed ones that nobody counts.
func TestReportedLoadIsExportedWhileItIsRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n, err := New(func() Settings { s := DefaultSettings(); s.Service = "desk"; return s }())
		c.Assert(err, qt.IsNil)
		waiting := n.metrics.UpstreamReported.With("waiting")
		n.noteUpstreamLoad(UpstreamAnswer{Load: UpstreamLoad{Running: 8, Waiting: 5, Slots: 8, WorkTime: 1.5}})
		n.noteUpstreamLoad(UpstreamAnswer{MalformedLoad: true})
		n.updateGauges()
		c.Check(waiting.Value(), qt.Equals, 5.0)
		c.Check(n.metrics.UpstreamReported.With("work-time").Value(), qt.Equals, 1.5)
		c.Check(n.metrics.Malformed.With(malformedLoad).Count(), qt.Equals, int64(1))
		time.Sleep(maxLoadAge + time.Second)
		n.updateGauges()
		c.Check(waiting.Value(), qt.Equals, 0.0)
	})
}

// loadDialect is a plainDialect whose upstreams report their load in X-Load.
type loadDialect struct{ plainDialect }

func (d loadDialect) ReadUpstream(a *http.Response, u UpstreamRequest) UpstreamAnswer {
	answer := d.plainDialect.ReadUpstream(a, u)
	l := &answer.Load
	_, err := fmt.Sscanf(a.Header.Get("X-Load"), "%d,%d,%d,%g", &l.Running, &l.Waiting, &l.Slots, &l.WorkTime)
	answer.MalformedLoad = err != nil
	return answer
}

// Guards against a load that the calling node never receives, or that its status and
// metrics don't show.
func TestReportedLoadReachesTheCallingNode(t *testing.T) {
	inFleet(t, func(f *fleet) {
		dialect := func(s *Settings) { s.Dialect = loadDialect{} }
		loaded := func(w http.ResponseWriter, r *http.Request, c func(string, string, string) (*http.Response, error)) {
			w.Header().Set("X-Load", "7,2,8,1.5")
			echo(w, r, c)
		}
		front := f.addRouted("front", "front", 10, echo, dialect)
		desk := f.addRouted("desk", "desk", 8, loaded, dialect)
		f.settle()
		f.c.Assert(f.askRouted(front, "/browse/x", "r1").status, qt.Equals, http.StatusOK)
		want := observe.TargetStatus{Service: "desk", Node: desk.id, Zone: desk.settings.Zone, Running: 8, Waiting: 1, Slots: 8, Work: 1500, Belief: "believed"}
		f.c.Check(front.Status().Targets, qt.DeepEquals, []observe.TargetStatus{want})
		f.c.Check(f.metric(front, `pollengauge_target_load_targets{service="desk",belief="believed"}`), qt.Equals, "1")
		f.c.Check(f.metric(front, `pollengauge_target_load_ignored_total{reason="malformed"}`), qt.Equals, "0")
	})
}

// Guards against a load that is passed on after the upstream that reported it has been
// replaced, after it is too old to be of use, or with figures beyond the limits.
func TestOutdatedLoadIsNotPassedOn(t *testing.T) {
	inFleet(t, func(f *fleet) {
		c, n := f.c, f.addRouted("desk", "desk", 8, echo)
		announce := func(instance string) {
			n.announceMu.Lock()
			defer n.announceMu.Unlock()
			n.replaceUpstream(Announcement{Service: "desk", Addr: "127.0.0.1:1", Slots: 8, Instance: instance})
		}
		load := UpstreamLoad{Running: 3, Slots: 8, WorkTime: 1}
		announce("first")
		n.noteUpstreamLoad(UpstreamAnswer{Instance: "first", Load: load})
		time.Sleep(40 * time.Millisecond)
		c.Check(n.targetLoad(), qt.Equals, call.TargetLoad{Running: 3, Slots: 8, Work: call.UsualWork, Age: 40})
		announce("second")
		c.Check(n.targetLoad().IsZero(), qt.IsTrue)
		n.noteUpstreamLoad(UpstreamAnswer{Instance: "first", Load: load})
		c.Check(n.targetLoad().IsZero(), qt.IsTrue)
		c.Check(n.metrics.TargetLoadIgnored.With(loadOfOtherInstance).Count(), qt.Equals, int64(1))
		n.noteUpstreamLoad(UpstreamAnswer{Instance: "second", Load: UpstreamLoad{Slots: call.MaxTargetLoadFigure + 1, WorkTime: 1}})
		c.Check(n.targetLoad().IsZero(), qt.IsTrue)
		n.noteUpstreamLoad(UpstreamAnswer{Instance: "second", Load: load})
		time.Sleep(maxLoadAge + time.Millisecond)
		c.Check(n.targetLoad().IsZero(), qt.IsTrue)
	})
}
