package observe

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"pollengauge.dev/call"
)

func scrape(c *qt.C, m *Metrics) map[string]*dto.MetricFamily {
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, nil)
	p := expfmt.NewTextParser(model.LegacyValidation)
	families, err := p.TextToMetricFamilies(recorder.Body)
	c.Assert(err, qt.IsNil)
	return families
}

// Every reason declared in package call must have an entry here. A missing one
// would be counted as "other" and explained without advice.
func TestEveryReasonIsKnown(t *testing.T) {
	c := qt.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "../call/outcome.go", nil, 0)
	c.Assert(err, qt.IsNil)
	var declared []call.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Reason" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			c.Assert(err, qt.IsNil)
			declared = append(declared, call.Reason(text))
		}
		return true
	})
	known := append(Reasons(), call.ReasonNone)
	slices.Sort(declared)
	slices.Sort(known)
	c.Assert(known, qt.DeepEquals, declared)
	c.Assert(AdviceFor("new-word").Cause, qt.Contains, "new-word")
}

// Every metric of the catalogue must appear on the metrics page with its name, help
// text and labels once it has a value, and the exposition library must be able to
// parse the page.
func TestPageShowsCatalogue(t *testing.T) {
	c := qt.New(t)
	m := NewMetrics(MetricsConfig{Node: "n1", Service: "registry", Zone: "a\"\n"})
	p := m.Profile("tracking")
	p.Call(call.NotRun, call.ReasonLevel)
	p.Call(call.NotRun, call.ReasonLevel)
	p.Call(call.Complete, call.ReasonNone)
	p.Call(call.Unknown, "from-a-newer-node")
	p.Refused(call.ReasonLevel)
	p.Retry("allowed")
	p.QueueWait.Observe(300 * time.Microsecond)
	p.QueueWait.Observe(700 * time.Microsecond)
	p.QueueWait.Observe(time.Hour)
	m.Keys.With("done").Update(1)
	m.Quarantine.With("held").Inc(1)
	m.Quarantined.With("held").Update(1)
	m.Claims.With("held").Inc(1)
	m.UnknownFates.With("lost").Inc(1)
	m.WitnessNotes.With("told").Inc(1)
	m.Members.With("alive").Update(3)
	m.GossipBytes.With(DirectionInbound).Inc(1)
	m.GossipMessages.With(DirectionInbound).Inc(1)
	m.PlatformCalls.With("get", "ok").Inc(1)
	m.PlatformTime.With("get").Observe(time.Millisecond)
	m.RetryBudgetLeft.With("registry").Update(1)
	m.ServiceLevel.With("registry").Update(1)
	m.ServiceLoad.With("registry").Update(0.5)
	m.TargetLoadTargets.With("registry", "believed").Update(1)
	m.TargetLoadAge.With("registry").Update(0.02)
	m.TargetLoadIgnored.With("old").Inc(1)
	m.Connections.With("outbound").Update(1)
	m.LogLinesLost.With("dropped").Inc(1)
	m.Peerlink.Conns.With(DirectionInbound).Update(1)
	m.Peerlink.Streams.With(DirectionInbound).Update(1)
	for _, counters := range []Counters{m.Peerlink.Calls, m.Peerlink.Bytes, m.Peerlink.Writes, m.Peerlink.Malformed} {
		counters.With(DirectionInbound).Inc(1)
	}
	m.Malformed.With("gossip").Inc(1)
	m.HeadsRefused.With("too-large").Inc(1)
	m.UpstreamReported.With("waiting").Update(2)
	m.Unrouted.With("no-route").Inc(1)
	m.RequestsCut.With("shutdown").Inc(1)
	m.AbandonedRuns.With("finish", "ends-soon").Inc(1)
	m.Strangers.With("unauthorized").Inc(1)
	m.Quotas.With("taken").Inc(1)
	m.SlotTime.With("city").Update(1)
	m.SlotTime.With("gone").Update(1)
	m.SlotTime.Remove("gone")
	m.Spans.With("dropped").Inc(1)
	families := scrape(c, m)
	for _, metric := range MetricCatalogue() {
		family := families[metric.Name]
		c.Assert(family, qt.IsNotNil, qt.Commentf("%s", metric.Name))
		c.Assert(family.GetHelp(), qt.Equals, metric.Meaning)
		c.Assert(family.GetMetric()[0].GetLabel(), qt.HasLen, len(metric.Labels))
	}
	c.Assert(families, qt.HasLen, len(MetricCatalogue()))
	c.Assert(families["pollengauge_calls_total"].GetMetric(), qt.HasLen, 3)
	c.Assert(families["pollengauge_slot_time_seconds_total"].GetMetric(), qt.HasLen, 1, qt.Commentf("a removed series must not be shown"))
	c.Assert(families["process_resident_memory_bytes"].GetMetric()[0].GetGauge().GetValue() > 1<<20, qt.IsTrue)
	waited := families["pollengauge_queue_wait_seconds"].GetMetric()[0].GetHistogram()
	c.Assert(waited.GetSampleCount(), qt.Equals, uint64(3))
	for _, b := range waited.GetBucket() {
		if b.GetUpperBound() == 0.00064 {
			c.Assert(b.GetCumulativeCount(), qt.Equals, uint64(1))
		}
	}
	counts := p.Status()
	c.Assert([]int64{counts.Offered, counts.Complete, counts.NotRun, counts.Unknown}, qt.DeepEquals, []int64{4, 1, 2, 1})
}

// A faulty peer sends calls with ever new profile names. The number of series must
// stay bounded, known profiles keep their own counters, and no call is lost from
// the total.
func TestProfileNamesAreBounded(t *testing.T) {
	c := qt.New(t)
	m := NewMetrics(MetricsConfig{})
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 300 {
				m.Profile("p"+strconv.Itoa((i+worker)%300)).Call(call.NotRun, call.ReasonTooLarge)
			}
		})
	}
	wg.Wait()
	calls := scrape(c, m)["pollengauge_calls_total"].GetMetric()
	c.Assert(calls, qt.HasLen, maxProfiles+1)
	total := 0.0
	for _, series := range calls {
		total += series.GetCounter().GetValue()
	}
	c.Assert(total, qt.Equals, 1200.0)
	c.Assert(m.Profile("one more").Name(), qt.Equals, other)
}

// Many fast calls in old windows must not hide a slow call of the last seconds, and
// a rotation must not lose values from the totals.
func TestRecentPercentiles(t *testing.T) {
	c := qt.New(t)
	h := NewHistogram()
	for range 10_000 {
		h.Observe(time.Millisecond)
	}
	h.Rotate()
	h.Rotate()
	h.Observe(time.Second)
	c.Assert(h.Recent(99).Round(10*time.Millisecond), qt.Equals, time.Second)
	h.Rotate()
	c.Assert(h.Recent(99).Round(10*time.Millisecond), qt.Equals, time.Second, qt.Commentf("the previous window counts too"))
	c.Assert(h.Percentile(0.99), qt.Equals, 1003.0)
	c.Assert(h.Count(), qt.Equals, int64(10_001))
	c.Assert(h.Sum(), qt.Equals, int64(11_000_000))
	c.Assert(h.Snapshot().Count(), qt.Equals, h.Count())
}
