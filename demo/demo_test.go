package demo

import (
	"bytes"
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/demo/report"
)

// safetyClaims lists the promises that must hold at any speed of the machine.
var safetyClaims = []string{
	"every answer is the caller's own",
	"every complete answer is whole",
	"complete means that every hop finished",
	"not-run means that nothing ran",
	"not-run holds for the key, not only the attempt",
	"unrepeatable work runs at most once",
	claimNoRevert,
}

// Clients retry immediately during a surge, a slow replica, a platform outage, a
// drained VM and a killed VM. The figures depend on the speed of the machine,
// but at any speed no caller may receive another caller's answer, a false
// not-run or a second booking.
func TestSafetyPromisesHoldEndToEnd(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{
		Profiles:    os.DirFS("../examples"),
		Deployments: []string{"tenantwise"},
		Systems:     []string{SystemPollengauge},
		TimeScale:   0.4,
		LoadScale:   0.4,
		PlotDir:     c.TempDir(),
	}, &out)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Runs, qt.HasLen, 1)
	verdicts := map[string]report.Promise{}
	for _, p := range result.Runs[0].Promises {
		verdicts[p.Claim] = p
	}
	for _, claim := range safetyClaims {
		c.Check(verdicts[claim].Verdict, qt.Equals, report.Pass, qt.Commentf("%s: %s", claim, verdicts[claim].Detail))
	}
	offered := 0
	for _, part := range result.Runs[0].Parts {
		for _, s := range part.Summaries {
			offered += s.Offered
		}
	}
	c.Check(offered, qt.Equals, len(result.Runs[0].Evidence.Records))
	c.Check(out.String(), qt.Contains, "PASS    unrepeatable work runs at most once")
}

func TestDeploymentsAreSound(t *testing.T) {
	c := qt.New(t)
	for _, d := range Deployments() {
		c.Run(d.Name, func(c *qt.C) {
			c.Assert(d.Graph.Validate(), qt.IsNil)
			set, err := d.profiles(os.DirFS("../examples"))
			c.Assert(err, qt.IsNil)
			compiled, err := config.Compile(set)
			c.Assert(err, qt.IsNil)
			for _, class := range d.Classes {
				matched := compiled.Match(class.Target.Service, class.Method, "/"+class.Target.Route)
				c.Check(matched.Name, qt.Equals, class.Profile, qt.Commentf("%s", class.Name))
				c.Check(matched.Unrepeatable, qt.Equals, class.Once, qt.Commentf("%s", class.Name))
				c.Check(d.Graph[class.Target.Service][class.Target.Route].Method(), qt.Equals, class.Method)
			}
			edited, err := d.Edit.apply(set)
			c.Assert(err, qt.IsNil)
			c.Check(config.Validate(edited), qt.IsNil)
			c.Check(len(config.Diff(set, edited)) > 0, qt.IsTrue)
			_, err = Edit{Lifted: "missing", Lowered: "status"}.apply(set)
			c.Check(err, qt.ErrorMatches, `edit: no profiles "missing" and "status"`)
		})
	}
}

func TestOptionsAreChecked(t *testing.T) {
	c := qt.New(t)
	files := os.DirFS("../examples")
	for _, o := range []Options{
		{},
		{Profiles: files, TimeScale: -1},
		{Profiles: files, LoadScale: 11},
		{Profiles: files, Systems: []string{"other"}},
		{Profiles: files, Deployments: []string{"other"}},
	} {
		var option *OptionError
		_, err := Run(context.Background(), o, &bytes.Buffer{})
		c.Check(err, qt.ErrorAs, &option, qt.Commentf("%+v", o))
	}
	var profiles *ProfilesError
	_, err := Run(context.Background(), Options{Profiles: os.DirFS(c.TempDir())}, &bytes.Buffer{})
	c.Check(err, qt.ErrorAs, &profiles)
}

// A request that is written in three pieces must be delayed once, not three
// times.
func TestDelayIsPaidOncePerDirection(t *testing.T) {
	c := qt.New(t)
	conn := &delayedConn{oneWay: time.Microsecond}
	turns := 0
	for _, sending := range []bool{true, true, true, false, false, true, false} {
		if conn.setDirection(sending) {
			turns++
		}
	}
	c.Check(turns, qt.Equals, 4)
	d := newDelays(time.Millisecond, 0)
	d.setZone("127.0.0.1:1", "zone-a")
	c.Check(d.oneWay("zone-a", "127.0.0.1:1"), qt.Equals, time.Duration(0))
	c.Check(d.oneWay("zone-b", "127.0.0.1:1"), qt.Equals, time.Millisecond)
}
