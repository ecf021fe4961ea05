package experiment

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/bench/experiment/compare"
	"pollengauge.dev/bench/experiment/play"
	"pollengauge.dev/bench/experiment/workload"
)

const tiny = `name: tiny
length: 2s
services: [{name: only, replicas: 2, slots: 2}]
routes: [{name: page, service: only, steps: [{work: 10ms}]}]
kinds: [{name: view, route: page, rank: 2, objective: 100ms, deadline: 1s, rate: 50, callers: calm}]
callers: [{name: calm, timeout: 1s}]
variants:
  - {name: all}
  - {name: slow, set: {routes.page.steps.0.work: 20ms}}
`

func configOf(c *qt.C) Config {
	return Config{Workload: []byte(tiny), Seeds: 2, Parallel: 2, Journal: filepath.Join(c.TempDir(), "plays.jsonl")}
}

func TestRun(t *testing.T) {
	c := qt.New(t)
	cfg := configOf(c)
	var told []Progress
	cfg.Progress = func(p Progress) { told = append(told, p) }
	report, err := Run(c.Context(), cfg)
	c.Assert(err, qt.IsNil)
	c.Check(report.Plays, qt.HasLen, 4)
	c.Check(report.Variants[1].Plays, qt.Equals, 2)
	c.Check(told, qt.HasLen, 5)
	c.Check(told[4].Done, qt.Equals, 4)
	for _, m := range report.Variants[0].Metrics[:3] {
		c.Check(*m.Mean > 30, qt.IsTrue, qt.Commentf("%s %s %v", m.Name, m.Unit, *m.Mean))
	}
	c.Check(report.Plays[0].Result.Worth <= report.Plays[0].Bound, qt.IsTrue)
	c.Check(report.RanTwice(), qt.Equals, 0)
	c.Check(report.String(), qt.Contains, "view answered")
	var svg bytes.Buffer
	c.Assert(report.WritePlot(&svg), qt.IsNil)
	c.Check(svg.String(), qt.Contains, "tiny, rank 2")
	c.Check(svg.String(), qt.Contains, "slow")
}

// The operator ends a run with Ctrl-C after its first play, and starts the same
// command again. The first play must be kept and the others played, each once.
func TestStoppedRunsGoOn(t *testing.T) {
	c := qt.New(t)
	cfg := configOf(c)
	cfg.Parallel = 1
	ctx, stop := context.WithCancel(c.Context())
	cfg.Progress = func(p Progress) {
		if p.Done == 1 {
			stop()
		}
	}
	report, err := Run(ctx, cfg)
	var stopped *StoppedError
	c.Assert(errors.As(err, &stopped), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(*stopped, qt.Equals, StoppedError{Done: 1, Total: 4})
	c.Check(report.Plays, qt.HasLen, 1)
	c.Check(report.String(), qt.Contains, "bound of worth")
	first := report.Plays[0]
	cfg.Progress = nil
	report, err = Run(c.Context(), cfg)
	c.Assert(err, qt.IsNil)
	c.Check(report.Plays, qt.HasLen, 4)
	c.Check(report.Plays[0], qt.DeepEquals, first)
}

// The process was killed while it wrote a play. The half line must not spoil the
// plays before it, nor the one that is written next.
func TestTornJournalsAreCut(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "plays.jsonl")
	j, plays, err := openJournal(path, []byte("w"))
	c.Assert(err, qt.IsNil)
	c.Check(plays, qt.HasLen, 0)
	c.Assert(j.write(Play{Variant: "a", Seed: 1}), qt.IsNil)
	_, err = j.file.WriteString(`{"variant":"a","se`)
	c.Assert(err, qt.IsNil)
	j.close()
	j, plays, err = openJournal(path, []byte("w"))
	c.Assert(err, qt.IsNil)
	c.Check(plays, qt.HasLen, 1)
	c.Assert(j.write(Play{Variant: "b", Seed: 1}), qt.IsNil)
	j.close()
	_, plays, err = openJournal(path, []byte("w"))
	c.Assert(err, qt.IsNil)
	c.Check(plays, qt.HasLen, 2)
}

// Plays of another workload under the same path would be compared with those of
// this one.
func TestJournalsOfOtherWorkloadsAreRefused(t *testing.T) {
	c := qt.New(t)
	cfg := configOf(c)
	j, _, err := openJournal(cfg.Journal, []byte("other"))
	c.Assert(err, qt.IsNil)
	j.close()
	_, err = Run(c.Context(), cfg)
	var refused *JournalError
	c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(os.WriteFile(cfg.Journal, []byte("no json\n"), 0o600), qt.IsNil)
	_, err = Run(c.Context(), cfg)
	c.Check(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
}

func TestBadWorkloadsAreRefused(t *testing.T) {
	c := qt.New(t)
	_, err := Run(c.Context(), Config{Workload: []byte("name: x")})
	var refused *workload.Error
	c.Check(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
}

// Seeds are paired with one another, and a seed that only one variant has is in
// that one's mean alone.
func TestReportPairsSeeds(t *testing.T) {
	c := qt.New(t)
	file, err := workload.Parse([]byte(tiny))
	c.Assert(err, qt.IsNil)
	of := func(variant string, seed uint64, worth float64) Play {
		return Play{Variant: variant, Seed: seed, Result: play.Result{Worth: worth}}
	}
	report, err := newReport(file, []Play{
		of("slow", 2, 25), of("all", 1, 10), of("all", 3, 90), of("slow", 1, 11), of("all", 2, 20),
	})
	c.Assert(err, qt.IsNil)
	base, slow := report.Variants[0].Metrics[1], report.Variants[1].Metrics[1]
	c.Check(*base.Mean, qt.Equals, 40.0)
	c.Check(base.Difference, qt.IsNil)
	c.Check(*slow.Mean, qt.Equals, 18.0)
	c.Check(*slow.Difference, qt.DeepEquals, compare.Paired([]float64{10, 20}, []float64{11, 25}))
	c.Check(strings.Contains(report.String(), "+3.00 ["), qt.IsTrue, qt.Commentf("%s", report))
	// No play tells of the kind.
	c.Check(report.Variants[0].Metrics[5].Mean, qt.IsNil)
}

// A mechanism that is switched off may well let an operation run twice. With all
// of them it may not.
func TestOnlyWholeVariantsBreakPromises(t *testing.T) {
	c := qt.New(t)
	file, err := workload.Parse([]byte(tiny + "  - {name: unsafe, ablate: [NoSealing]}\n"))
	c.Assert(err, qt.IsNil)
	report, err := newReport(file, []Play{
		{Variant: "all", Seed: 1}, {Variant: "slow", Seed: 1, Result: play.Result{RanTwice: 1}}, {Variant: "unsafe", Seed: 1, Result: play.Result{RanTwice: 7}},
	})
	c.Assert(err, qt.IsNil)
	c.Check(report.RanTwice(), qt.Equals, 1)
}

// A run that was stopped before its first play has no figures. Shown as zeros they
// would be taken for measured.
func TestNothingPlayedShowsNothing(t *testing.T) {
	c := qt.New(t)
	cfg := configOf(c)
	ctx, stop := context.WithCancel(c.Context())
	stop()
	report, err := Run(ctx, cfg)
	c.Check(err, qt.DeepEquals, &StoppedError{Total: 4})
	c.Check(report.String(), qt.Matches, `(?s).*worth +a second +- +-\n.*`)
	c.Check(report.WritePlot(&bytes.Buffer{}), qt.IsNil)
}
