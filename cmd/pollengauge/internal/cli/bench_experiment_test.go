package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/bench/experiment"
)

const tinyWorkload = `name: tiny
length: 2s
services: [{name: only, replicas: 2, slots: 2}]
routes: [{name: page, service: only, steps: [{work: 10ms}]}]
kinds: [{name: view, route: page, rank: 2, objective: 100ms, deadline: 1s, rate: 50, callers: calm}]
callers: [{name: calm, timeout: 1s}]
variants:
  - {name: all}
  - {name: slow, set: {routes.page.steps.0.work: 20ms}}
`

func writeWorkload(c *qt.C, text string) string {
	path := filepath.Join(c.TempDir(), "tiny.yaml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// A second run of the same command finds every play stored, runs none and reports
// the same results.
func TestBenchExperiment(t *testing.T) {
	c, ctx := testContext(t)
	file, out := writeWorkload(c, tinyWorkload), filepath.Join(c.TempDir(), "out")
	first := command(ctx, "", "bench", "experiment", file, "--seeds", "2", "--parallel", "2", "--out", out)
	c.Assert(first.code, qt.Equals, ExitOK, qt.Commentf("%s", first.stderr))
	c.Check(first.stdout, qt.Contains, "view answered")
	c.Check(first.stderr, qt.Contains, "4 of 4 plays")
	for _, name := range []string{playsFile, resultsFile, plotFile} {
		_, err := os.Stat(filepath.Join(out, name))
		c.Check(err, qt.IsNil)
	}
	second := command(ctx, "", "bench", "experiment", file, "--seeds", "2", "--out", out, "--json")
	c.Assert(second.code, qt.Equals, ExitOK)
	c.Check(second.stderr, qt.Equals, "4 of 4 plays were done before\n")
	kept, err := os.ReadFile(filepath.Join(out, resultsFile))
	c.Assert(err, qt.IsNil)
	c.Check(second.stdout, qt.Equals, string(kept))
	var report experiment.Report
	c.Assert(json.Unmarshal(kept, &report), qt.IsNil)
	c.Check(report.Plays, qt.HasLen, 4)
}

func TestBenchExperimentRefusesBadInput(t *testing.T) {
	c, ctx := testContext(t)
	bad := writeWorkload(c, strings.Replace(tinyWorkload, "slots: 2", "slots: 0", 1))
	out := filepath.Join(c.TempDir(), "out")
	got := command(ctx, "", "bench", "experiment", bad, "--out", out)
	c.Check(got.code, qt.Equals, ExitUsage)
	c.Check(got.stderr, qt.Contains, `line 3: services[0].slots: "0": want 1 to 10000`)
	_, err := os.Stat(out)
	c.Check(os.IsNotExist(err), qt.IsTrue)
	good := writeWorkload(c, tinyWorkload)
	for _, args := range [][]string{{good, "--seeds", "0"}, {good, "--parallel", "0"}, {good + ".not"}, {}} {
		got := command(ctx, "", append([]string{"bench", "experiment", "--out", out}, args...)...)
		c.Check(got.code, qt.Equals, ExitUsage, qt.Commentf("%v: %s", args, got.stderr))
	}
	c.Assert(os.Mkdir(out, 0o700), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(out, playsFile), []byte("{}\n"), 0o600), qt.IsNil)
	got = command(ctx, "", "bench", "experiment", good, "--out", out)
	c.Check(got.code, qt.Equals, ExitFailed)
	c.Check(got.stderr, qt.Contains, "move it away to begin anew")
}

// On a terminal each progress line overwrites the previous one, and the last one
// remains.
func TestProgressOnATerminal(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	p := newProgress(&b)
	c.Check(p.terminal, qt.IsFalse)
	p.terminal = true
	p.show(experiment.Progress{Total: 2})
	p.show(experiment.Progress{Done: 1, Total: 2, Last: experiment.Play{Variant: "a", Seed: 1}})
	p.show(experiment.Progress{Done: 2, Total: 2, Last: experiment.Play{Variant: "b", Seed: 1}})
	c.Check(b.String(), qt.Equals, "\r\x1b[K1 of 2 plays, a seed 1 took 0s, about 0s left\r\x1b[K2 of 2 plays, b seed 1 took 0s\n")
}

func TestResultsAreNamedAfterTheFile(t *testing.T) {
	c := qt.New(t)
	c.Check(resultsDirOf("a/mesh.yaml"), qt.Equals, "mesh.results")
	c.Check(resultsDirOf("mesh"), qt.Equals, "mesh.results")
	c.Check(resultsDirOf("-"), qt.Equals, "stdin.results")
}
