package workload

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/node"
)

const small = `name: small
length: 10s
warm: 1s
network: {zones: 2, zoneDelay: 1ms}
services:
  - {name: front, replicas: 2, slots: 4}
  - {name: deep, replicas: 3, slots: 2, speeds: [1, 0.5]}
routes:
  - name: page
    service: front
    steps:
      - {work: 5ms, sigma: 0}
      - {together: [row, row]}
  - {name: row, service: deep, unrepeatable: true, attempts: 3, steps: [{work: 10ms}]}
kinds:
  - {name: view, route: page, rank: 3, objective: 100ms, deadline: 300ms, worth: 2, rate: 10, callers: calm}
callers:
  - {name: calm, tries: 2, timeout: 1s, backoff: 100ms}
load:
  - {from: 2s, to: 4s, factor: 3, kinds: [view]}
  - {from: 3s, to: 5s, factor: 2}
faults:
  - {kind: slow, at: 5s, for: 1s, service: deep, factor: 4}
variants:
  - {name: all}
  - {name: deaf, ablate: [NoFeedback]}
  - {name: wide, set: {services.deep.slots: 8, routes.row.steps.0.work: 20ms, retryRatio: 0}}
`

func parsed(c *qt.C, text, variant string) *Workload {
	f, err := Parse([]byte(text))
	c.Assert(err, qt.IsNil)
	w, err := f.Workload(variant)
	c.Assert(err, qt.IsNil)
	return w
}

func TestParse(t *testing.T) {
	c := qt.New(t)
	w := parsed(c, small, "all")
	c.Check(w.Nodes(), qt.Equals, 5)
	c.Check(w.RetryRatio, qt.Equals, 0.1)
	c.Check(w.Service("deep").Speed(1), qt.Equals, 0.5)
	c.Check(w.Service("deep").Speed(2), qt.Equals, 1.0)
	c.Check(w.Service("front").Speed(1), qt.Equals, 1.0)
	c.Check(w.Routes[0].Steps[0].Work, qt.Equals, Work{Median: 5 * time.Millisecond})
	c.Check(w.Routes[0].Steps[1].Together, qt.DeepEquals, []string{"row", "row"})
	c.Check(w.Route("row").Attempts, qt.Equals, 3)
	c.Check(w.Route("row").Unrepeatable, qt.IsTrue)
	c.Check(w.Route("row").Steps[0].Work.Sigma, qt.Equals, 0.4)
	c.Check(w.CallerService(w.Kind("view")), qt.Equals, "front")
	c.Check(w.Caller("calm").Backoff, qt.Equals, 100*time.Millisecond)
	c.Check(w.Faults[0].Kind, qt.Equals, Slow)
}

func TestVariants(t *testing.T) {
	c := qt.New(t)
	f, err := Parse([]byte(small))
	c.Assert(err, qt.IsNil)
	c.Check(f.Variants(), qt.DeepEquals, []string{"all", "deaf", "wide"})
	c.Check(parsed(c, small, "all").Ablate, qt.Equals, node.Ablation{})
	c.Check(parsed(c, small, "deaf").Ablate, qt.Equals, node.Ablation{NoFeedback: true})
	wide := parsed(c, small, "wide")
	c.Check(wide.Service("deep").Slots, qt.Equals, 8)
	c.Check(wide.Route("row").Steps[0].Work.Median, qt.Equals, 20*time.Millisecond)
	c.Check(wide.RetryRatio, qt.Equals, 0.0)
	_, err = f.Workload("other")
	c.Check(err, qt.DeepEquals, &VariantError{Name: "other"})
	alone, err := Parse([]byte(small[:strings.Index(small, "variants:")]))
	c.Assert(err, qt.IsNil)
	c.Check(alone.Variants(), qt.DeepEquals, []string{onlyVariant})
}

func TestRateFollowsPhases(t *testing.T) {
	c := qt.New(t)
	w := parsed(c, small, "all")
	for at, want := range map[time.Duration]float64{0: 10, 2 * time.Second: 30, 3 * time.Second: 60, 4 * time.Second: 20, 5 * time.Second: 10} {
		c.Check(w.RateAt(w.Kind("view"), at), qt.Equals, want, qt.Commentf("at %v", at))
	}
}

func TestWorthFallsAfterTheObjective(t *testing.T) {
	c := qt.New(t)
	k := Kind{Objective: 100 * time.Millisecond, Deadline: 300 * time.Millisecond, Worth: 2}
	for took, want := range map[time.Duration]float64{0: 2, 100: 2, 200: 1, 300: 0, 400: 0} {
		c.Check(k.WorthAfter(took*time.Millisecond), qt.Equals, want, qt.Commentf("after %d ms", took))
	}
}

// A file with a slip of the pen must be refused with the place of the slip, or
// the experiment that is played is not the one that was meant.
func TestBadFilesNameLineAndField(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name, old, new string
		want           Problem
	}{
		{"unknown field", "zones: 2", "zoness: 2", Problem{4, "network.zoness", "zoness", "a known field"}},
		{"repeated field", "warm: 1s", "length: 1s", Problem{3, "length", "length", "each field once"}},
		{"no unit", "length: 10s", "length: 10", Problem{2, "length", "10", "a duration with its unit, as 250ms"}},
		{"not a number", "slots: 4", "slots: four", Problem{6, "services[0].slots", "four", "a whole number"}},
		{"not a list", "together: [row, row]", "together: row", Problem{13, "routes[0].steps[1].together", "row", "a list"}},
		{"no such route", "together: [row, row]", "together: [row, rows]", Problem{13, "routes[0].steps[1].together[1]", "rows", "a route"}},
		{"no such service", "service: deep, unrepeatable", "service: deeper, unrepeatable", Problem{14, "routes[1].service", "deeper", "a service"}},
		{"no such callers", "callers: calm", "callers: wild", Problem{16, "kinds[0].callers", "wild", "callers"}},
		{"left out", ", deadline: 300ms", "", Problem{16, "kinds[0].deadline", "0s", "10ms to 10m0s"}},
		{"rank", "rank: 3", "rank: 16", Problem{16, "kinds[0].rank", "16", "0 to 15"}},
		{"same name", "name: front", "name: deep", Problem{7, "services[1].name", "deep", wantName}},
		{"two things in a step", "{work: 5ms, sigma: 0}", "{work: 5ms, inTurn: [row]}", Problem{12, "routes[0].steps[0]", "", "exactly one of work, inTurn and together"}},
		{"fault", "kind: slow", "kind: slows", Problem{23, "faults[0].kind", "slows", "slow, freeze, crash, cut, delay, limit or leave"}},
		{"no factor", ", factor: 4", "", Problem{23, "faults[0].factor", "1", "how many times slower"}},
		{"mechanism", "NoFeedback", "NoFeedbacks", Problem{26, "variants[1].ablate", "NoFeedbacks", "a mechanism of the nodes, as NoFeedback"}},
		{"way of a setting", "services.deep.slots", "services.deeper.slots", Problem{27, "services.deeper.slots", "deeper", "a field, or the name or number of an item"}},
		{"value of a setting", "services.deep.slots: 8", "services.deep.slots: 0", Problem{27, "services[1].slots", "0", "1 to 10000"}},
		{"field of a setting", "services.deep.slots: 8", "services.deep.slot: 8", Problem{27, "services[1].slot", "slot", "a known field"}},
		{"alias", "slots: 4", "slots: *a", Problem{0, "file", "yaml: unknown anchor 'a' referenced", "YAML"}},
	} {
		c.Run(test.name, func(c *qt.C) {
			c.Assert(strings.Contains(small, test.old), qt.IsTrue)
			_, err := Parse([]byte(strings.Replace(small, test.old, test.new, 1)))
			var refused *Error
			c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(refused.Problems, qt.Contains, test.want)
		})
	}
}

// A route that calls itself would never end, and one with many ways to the same
// routes would take as many requests as there are ways.
func TestCallsThatDoNotEndAreRefused(t *testing.T) {
	c := qt.New(t)
	loop := strings.Replace(small, "steps: [{work: 10ms}]", "steps: [{inTurn: [page]}]", 1)
	_, err := Parse([]byte(loop))
	c.Check(err, qt.ErrorMatches, `(?s).*line 14: routes\[1\]: "row": want calls that end, at most 16 deep.*`)
	bushy := "- {name: r0, service: deep, steps: [{work: 1ms}]}\n"
	for i := 1; i < 16; i++ {
		to, from := string(rune('a'+i)), string(rune('a'+i-1))
		if i == 1 {
			from = "r0"
		}
		calls := strings.TrimSuffix(strings.Repeat(from+", ", 64), ", ")
		bushy += "  - {name: " + to + ", service: deep, steps: [{inTurn: [" + calls + "]}]}\n"
	}
	_, err = Parse([]byte(strings.Replace(small, "routes:\n", "routes:\n  "+bushy, 1)))
	c.Check(err, qt.ErrorMatches, `(?s).*want at most 1000 requests in all.*`)
}

// Whatever a file holds, it is read or refused, and nothing else.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte("name: x\nvariants: [{name: a, set: {services.0: 1}}]"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse(data)
		if err == nil {
			_, err = file.Workload(file.Variants()[0])
		}
		var refused *Error
		if err != nil && !errors.As(err, &refused) {
			t.Fatalf("%T: %v", err, err)
		}
	})
}
