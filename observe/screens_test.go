package observe

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/call"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func assertGolden(c *qt.C, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		c.Assert(os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// refusedDownstream returns the hops of a status check that the portal admitted and
// two nodes of the downstream registry refused, one attempt each. The clock of the
// registry's VMs is two seconds behind.
func refusedDownstream() []Hop {
	start := time.Date(2026, 12, 2, 9, 30, 0, 0, time.UTC)
	trace := TraceID{0x4b, 0xf9, 15: 0x36}
	level := call.MakeLevel(4, 17)
	hop := func(kind Kind, depth int, span, parent byte, node, service string, after, took time.Duration) Hop {
		h := Hop{
			At: start.Add(after), Took: took, RequestID: "r-7f3c", TraceID: trace, SpanID: SpanID{7: span}, Sampled: true,
			Node: node, Service: service, Zone: "us-northeast-b", Kind: kind, Depth: depth, Profile: "status", Level: level,
			Decision: Admitted, Outcome: call.NotRun, Reason: call.ReasonLevel,
			Load: 640, Limit: 160, InFlight: 102, CreditIn: 2, CreditLeft: 1, Status: 503,
		}
		if parent != 0 {
			h.ParentSpanID = SpanID{7: parent}
		}
		return h
	}
	root := hop(Root, 0, 1, 0, "portal-1", "customer-portal", 0, 9400*time.Microsecond)
	outbound := hop(Outbound, 0, 2, 1, "portal-1", "customer-portal", 2*time.Millisecond, 7*time.Millisecond)
	outbound.Target = "property-registry"
	first := hop(Attempt, 0, 3, 2, "portal-1", "customer-portal", 2*time.Millisecond, 3*time.Millisecond)
	first.Target, first.Attempt = "10.0.2.7:7100", 1
	second := hop(Attempt, 0, 5, 2, "portal-1", "customer-portal", 6*time.Millisecond, 3*time.Millisecond)
	second.Target, second.Attempt = "10.0.2.8:7100", 2
	refusal := hop(Inbound, 1, 4, 3, "registry-2", "property-registry", -2*time.Second, 40*time.Microsecond)
	again := hop(Inbound, 1, 6, 5, "registry-3", "property-registry", -1990*time.Millisecond, 35*time.Microsecond)
	for _, h := range []*Hop{&refusal, &again} {
		h.Decision, h.AdmitLevel = Refused, call.MakeLevel(9, 0)
		h.Load, h.Limit, h.InFlight, h.Queue, h.CreditIn, h.CreditLeft = 1575, 40, 40, 23, 0, 0
	}
	return []Hop{root, outbound, first, refusal, second, again}
}

// A tenant's status check failed with 503. The screen must identify the downstream
// hop that refused it and show the hops in call order, although they arrive in any
// order and the clocks of the VMs differ.
func TestExplainRefusedDownstream(t *testing.T) {
	c := qt.New(t)
	hops := refusedDownstream()
	text := Explain(hops, ExplainOptions{Unreachable: []string{"van-3"}})
	assertGolden(c, "refused_deep.txt", text)
	slices.Reverse(hops)
	c.Assert(Explain(hops, ExplainOptions{Unreachable: []string{"van-3"}}), qt.Equals, text)
	for _, width := range []int{40, 80, 100} {
		c.Assert(longestLine(Explain(hops, ExplainOptions{Width: width})) <= max(width, 80), qt.IsTrue, qt.Commentf("%d", width))
	}
}

func longestLine(text string) int {
	longest := 0
	for line := range strings.Lines(text) {
		longest = max(longest, utf8.RuneCountInString(strings.TrimSuffix(line, "\n")))
	}
	return longest
}

// Each case is one kind of outcome. The matched texts are the ones on which
// operators act.
func TestExplainVerdicts(t *testing.T) {
	c := qt.New(t)
	edit := func(change func(hops []Hop)) string {
		hops := refusedDownstream()
		change(hops)
		return Explain(hops, ExplainOptions{Width: 200})
	}
	complete := func(hops []Hop) {
		for i := range hops {
			hops[i].Outcome, hops[i].Reason, hops[i].Decision, hops[i].Status = call.Complete, call.ReasonNone, Admitted, 200
		}
	}
	retried := edit(func(hops []Hop) {
		complete(hops)
		hops[2].Outcome = call.NotRun
		hops[5].Decision, hops[5].Waited = Delayed, 80*time.Millisecond
	})
	c.Assert(retried, qt.Contains, "Verdict: complete.")
	c.Assert(retried, qt.Contains, "Refused attempts on the way: 1")
	c.Assert(retried, qt.Contains, "Delayed most by property-registry (inbound hop on node registry-3, zone us-northeast-b), for 80ms.")
	lost := edit(func(hops []Hop) {
		for i := range hops[:4] {
			hops[i].Outcome, hops[i].Reason, hops[i].Decision = call.Unknown, call.ReasonLost, Admitted
		}
	})
	c.Assert(lost, qt.Contains, "must not be sent again before asking")
	c.Assert(lost, qt.Contains, "left its fate unknown because the connection broke after the call was sent")
	early := edit(func(hops []Hop) {
		hops[0].Decision, hops[0].Reason, hops[0].LevelBelow = Refused, call.ReasonLevelBelow, call.MaxLevel+1
	})
	c.Assert(early, qt.Contains, "customer-portal (root hop on node portal-1, zone us-northeast-b) refused it because a deeper hop would")
	c.Assert(early, qt.Contains, "its level 4.017 is below 16.000 in force at a deeper hop (priority 4 against 16)")
	c.Assert(early, qt.Contains, "Which hop: no node that was asked still holds a refusal")
	waiting := edit(func(hops []Hop) { hops[3].Blocked, hops[5].Blocked = 39, 39 })
	c.Assert(waiting, qt.Contains, "40 in flight of a limit of 40, 39 of them waiting for calls below;")
	c.Assert(waiting, qt.Contains, "What to change: look below first.")
	part := edit(func(hops []Hop) {
		hops[3].AdmitLevel, hops[5].AdmitLevel = call.MakeLevel(4, 90), call.MakeLevel(4, 90)
	})
	c.Assert(part, qt.Contains, "below 4.090 in force there (of priority 4 a part is refused, by tie-break)")
	answered := edit(func(hops []Hop) { hops[0].Outcome, hops[0].Reason = call.Complete, call.ReasonNone })
	c.Assert(answered, qt.Contains, "The upstream answered with status 503 after a call below ended not-run.")
	stale := edit(func(hops []Hop) {
		complete(hops)
		hops[1].Decision, hops[1].LevelBelow = Stale, call.MakeLevel(9, 0)
	})
	c.Assert(stale, qt.Contains, "The answer is a stored one")
	c.Assert(stale, qt.Contains, "its level 4.017 is below 9.000 in force")
	c.Assert(stale, qt.Not(qt.Contains), "no hop held it back")
	replayed := edit(func(hops []Hop) {
		complete(hops)
		hops[0].Decision = Replayed
	})
	c.Assert(replayed, qt.Contains, "the same idempotency key came before and ran")
	gone := edit(func(hops []Hop) {
		hops[0].Outcome, hops[0].Reason, hops[0].Limit = call.Unknown, call.ReasonKeyHomeGone, 0
	})
	c.Assert(gone, qt.Not(qt.Contains), "of a limit of 0")
	noCredit := edit(func(hops []Hop) { hops[0].Ended, hops[1].Ended = "deeper", "no-credit" })
	c.Assert(noCredit, qt.Contains, "Not tried again, after 1 extra attempts in the whole chain: the retry credit of the request was used up")
	mixed := edit(func(hops []Hop) { hops[3].ConfigVersion = 2 })
	c.Assert(mixed, qt.Contains, "version 0 at customer-portal on node portal-1, 2 at property-registry on node registry-2.")
}

// A request was refused at the root because a downstream hop would have refused
// it. The root's record doesn't name the downstream service, and there may be
// several. The screen must name it from refusals of other requests of the profile
// at that time. Refusals that were passed on, that are a minute old or that come
// from a drain must not count: they say nothing about the level.
func TestExplainNamesTheServiceThatSheds(t *testing.T) {
	c := qt.New(t)
	root := refusedDownstream()[0]
	root.Decision, root.Reason, root.LevelBelow = Refused, call.ReasonLevelBelow, call.MakeLevel(9, 0)
	profile, ok := ShedBelow([]Hop{root})
	c.Assert(ok, qt.IsTrue)
	c.Assert(profile, qt.Equals, "status")
	_, ok = ShedBelow(refusedDownstream())
	c.Assert(ok, qt.IsFalse)
	refusals := append(refusedDownstream(), refusedDownstream()[3], refusedDownstream()[3], refusedDownstream()[3])
	refusals[6].At = root.At.Add(-time.Minute)
	refusals[6].Service = "past"
	refusals[7].Reason, refusals[7].Service = call.ReasonDraining, "leaving"
	text := Explain([]Hop{root}, ExplainOptions{Width: 300, Refusals: refusals})
	c.Assert(text, qt.Contains, "refused in the seconds around it by property-registry (3 on 2 nodes, level up to 9.000).")
}

// Hops come from peers, and rings overwrite old hops. Missing parents and cycles
// of parents must not hide a hop, and control characters must not move the cursor
// of the operator's terminal.
func TestExplainBrokenChains(t *testing.T) {
	c := qt.New(t)
	c.Assert(Explain(nil, ExplainOptions{Unreachable: []string{"n1"}}), qt.Contains, "Not asked, because they could not be reached: n1")
	c.Assert(Explain(refusedDownstream()[3:4], ExplainOptions{}), qt.Contains, "the chain is not whole")
	ring := refusedDownstream()[:2]
	ring[0].ParentSpanID = ring[1].SpanID
	ring[0].Node, ring[1].Reason, ring[1].Service = "\x1b[2J\n", "\x1b", "\u009b"
	text := Explain(ring, ExplainOptions{})
	c.Assert(strings.Count(text, "customer-portal"), qt.Not(qt.Equals), 0)
	c.Assert(text, qt.Contains, "outbound to property-registry")
	c.Assert(strings.ContainsAny(text, "\x1b\u009b"), qt.IsFalse)
}

func topNodes(at time.Duration, scale int64) []NodeStatus {
	node := func(name, service string, level call.Level, load int) NodeStatus {
		return NodeStatus{
			Node: name, Service: service, Zone: "us-northeast-a", Region: "us-northeast", ConfigVersion: 41,
			At: time.Unix(1000, 0).Add(at), Limit: 40, InFlight: load / 25, Queue: max(0, load-1000) / 25, AdmitLevel: level, Load: load,
			Profiles: []ProfileStatus{
				{Name: "closure", Offered: 10 * scale, Complete: 10 * scale, P50: 9 * time.Millisecond, P99: 31 * time.Millisecond},
				{Name: "status", Offered: 90 * scale, Complete: 30 * scale, NotRun: 60 * scale, P50: 4 * time.Millisecond, P99: 12 * time.Millisecond, LevelBelow: level},
			},
			Members: MemberCounts{Alive: 12, Suspect: 1}, Keys: KeyCounts{Running: 3, Done: 400, Capacity: 65536},
			CPU: at, ResidentBytes: 31 << 20,
		}
	}
	nodes := []NodeStatus{
		node("dispatch-1", "dispatch", 0, 400),
		node("registry-1", "property-registry", call.MakeLevel(9, 0), 1575),
		node("registry-2", "property-registry", call.MakeLevel(8, 3), 1300),
	}
	nodes[0].Draining = true
	nodes[2].ConfigVersion = 42
	return nodes
}

func TestTop(t *testing.T) {
	c := qt.New(t)
	options := TopOptions{Previous: topNodes(0, 10), Now: time.Unix(1002, 0), Unreachable: []string{"van-3"}}
	now := topNodes(2*time.Second, 30)
	assertGolden(c, "top.txt", RenderTop(now, options))
	for _, width := range []int{60, 80, 100} {
		options.Width = width
		c.Assert(longestLine(RenderTop(now, options)) <= width, qt.IsTrue, qt.Commentf("%d:\n%s", width, RenderTop(now, options)))
	}
	options.Height = 12
	short := RenderTop(now, options)
	c.Assert(strings.Count(short, "\n"), qt.Equals, 12)
	c.Assert(short, qt.Contains, "and 2 more nodes")
	// A node that restarted since the last screen counts from zero and has no rates.
	now[1].CPU, now[2].CPU = -1, -1
	c.Assert(RenderTop(now, options), qt.Not(qt.Contains), "property-registry  status")
	c.Assert(RenderTop(nil, TopOptions{}), qt.Contains, "nodes 0")
	// Ids of real length (32 characters) are truncated and don't displace columns.
	// A profile without calls gets no row, unless a downstream level is known for it.
	now = topNodes(0, 1)
	now[0].Node = strings.Repeat("0123456789abcdef", 2)
	now[0].Profiles[0], now[0].Profiles[1] = ProfileStatus{Name: "closure"}, ProfileStatus{Name: "status", LevelBelow: 1}
	screen := RenderTop(now, TopOptions{})
	c.Assert(screen, qt.Contains, "\n0123456789ab  dispatch ")
	c.Assert(screen, qt.Not(qt.Matches), `(?s).*\ndispatch +closure .*`)
	c.Assert(screen, qt.Matches, `(?s).*\ndispatch +status .*\nand 1 profiles without calls\n.*`)
}
