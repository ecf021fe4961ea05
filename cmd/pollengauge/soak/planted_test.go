package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var plantedTerms = terms{
	allowed:  map[string][]string{"/file/": {"filing"}, "/probe/": {"web", "filing"}},
	attempts: 2, timeout: time.Second, drain: 2 * time.Second,
	retryRatio: 0.2, retrySlack: 8, retryWindow: 10 * time.Second, maxLateShare: 0.25, learning: 5 * time.Second, timed: true,
}

// sound returns a record in which one request was served as it should be.
func sound(at time.Time) *record {
	r := &record{}
	r.sent = []sent{{id: "a", vm: 1, at: at, path: "/file/x", method: "POST", body: "b", unsafe: true, origin: "web"}}
	r.runs = []run{{id: "a", at: at, vm: 1, service: "filing", instance: "i-1", method: "POST", path: "/file/x", body: "b", origin: "web", executed: true, status: 200, signature: "s", answer: "yes"}}
	r.answers = []answered{{id: "a", vm: 1, at: at, took: time.Millisecond, status: 200, signature: "s", body: "yes", whole: true}}
	return r
}

// A checker that can't fail proves nothing: each one is shown the fault that it
// is there for, in a record that is sound otherwise.
func TestEachCheckerCatchesItsFault(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	c.Assert(judge(sound(at), plantedTerms), qt.HasLen, 0)
	again := func(r *record) run {
		x := r.runs[0]
		x.instance = "i-2"
		return x
	}
	for _, test := range []struct {
		name, rule string
		plant      func(r *record)
	}{
		{"run without a request", "asked", func(r *record) { r.sent = nil; r.answers = nil }},
		{"body changed on the way", "asked", func(r *record) { r.runs[0].body = "other" }},
		{"wrong origin", "asked", func(r *record) { r.runs[0].origin = "filing" }},
		{"service that no configuration allows", "route", func(r *record) { r.runs[0].service = "web" }},
		{"second run", "once", func(r *record) { r.runs = append(r.runs, again(r)) }},
		{"refused though it ran", "not-run", func(r *record) { r.answers[0].status = 503; r.answers[0].signature = "" }},
		{"success that nobody signed", "answer", func(r *record) { r.answers[0].signature = "" }},
		{"answer of another request", "answer", func(r *record) { r.answers[0].signature = "t" }},
		{"failure turned into success", "answer", func(r *record) { r.runs[0].status = 500 }},
		{"short body that looks whole", "answer", func(r *record) { r.answers[0].body = "y" }},
		{"too many attempts", "attempts", func(r *record) {
			for _, id := range []string{"b", "c", "d", "e"} {
				r.sent = append(r.sent, sent{id: id, path: "/file/x", method: "POST", body: "b", origin: "web"})
				for range 3 {
					x := again(r)
					x.id = id
					r.runs = append(r.runs, x)
				}
			}
		}},
		{"old configuration after a new one", "version", func(r *record) {
			r.versions = []version{{number: 1, sentAt: at, probe: "web"}, {number: 2, sentAt: at, probe: "filing"}}
			r.probes = []probe{{1, 1, at.Add(1), "web"}, {1, 1, at.Add(2), "filing"}, {1, 1, at.Add(3), "web"}}
		}},
		{"version before it was sent", "version", func(r *record) {
			r.versions = []version{{number: 1, sentAt: at.Add(time.Second), probe: "web"}}
			r.probes = []probe{{1, 1, at, "web"}}
		}},
		{"process that ended by itself", "process", func(r *record) { r.ends = []end{{1, at, "exit 2"}} }},
		{"request after the drain's bound", "drain", func(r *record) {
			r.leaves = []leave{{"i-1", 1, at.Add(-5 * time.Second)}}
		}},
		{"storm of retries", "retries", func(r *record) {
			r.sent[0].unsafe = false
			for range 20 {
				x := again(r)
				x.executed = false
				r.runs = append(r.runs, x)
			}
		}},
		{"answers held past the timeout", "timeout", func(r *record) {
			for range leastLate {
				a := r.answers[0]
				a.took = 5 * time.Second
				r.answers = append(r.answers, a)
			}
		}},
		{"route that was acknowledged long before is denied", "denied", func(r *record) { deny(r, at) }},
		{"route is denied by a VM whose store alone is cut off", "denied", func(r *record) {
			deny(r, at)
			deny(r, at)
			r.disturbed = []disturbed{{vm: 1, from: at.Add(-time.Second), to: at, fault: cutStore}}
		}},
	} {
		r := sound(at)
		test.plant(r)
		c.Check(rules(judge(r, plantedTerms)), qt.DeepEquals, []string{test.rule}, qt.Commentf("%s", test.name))
	}
}

// deny plants a 404 on an added route that was acknowledged ten seconds before.
func deny(r *record, at time.Time) {
	r.versions = append(r.versions, version{number: len(r.versions) + 1, sentAt: at.Add(-10 * time.Second), ackedAt: at.Add(-10 * time.Second), probe: "web", added: 2})
	r.sent = append(r.sent, sent{id: "new", vm: 1, at: at, path: addedPrefix(1) + "x", method: "GET", origin: "web"})
	r.answers = append(r.answers, answered{id: "new", vm: 1, at: at, status: 404, whole: true})
}

// A new life of a process may begin with an older configuration, and a drain
// binds only while nothing disturbs the VM that acknowledged it.
func TestAllowedCasesAreNoFindings(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	r := sound(at)
	r.versions = []version{{number: 1, sentAt: at, probe: "web"}, {number: 2, sentAt: at, probe: "filing"}}
	r.probes = []probe{{1, 1, at.Add(1), "filing"}, {1, 2, at.Add(2), "web"}, {1, 2, at.Add(3), "filing"}}
	r.leaves = []leave{{"i-1", 1, at.Add(-5 * time.Second)}}
	r.disturbed = []disturbed{{vm: 1, from: at.Add(-time.Second), to: at.Add(time.Second)}}
	c.Check(judge(r, plantedTerms), qt.HasLen, 0)
}

// Nobody is to blame for not knowing what could not reach them.
func TestDenialsOfCutOffVMsAreNoFindings(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	spanned := func(faults ...fault) []disturbed {
		var all []disturbed
		for _, f := range faults {
			all = append(all, disturbed{vm: 1, from: at.Add(-time.Second), to: at, fault: f})
		}
		return all
	}
	for _, faults := range [][]fault{{killNode}, {pauseNode}, {silenceLinks}, {cutStore, cutPeers}, {cutStore, cutOneWay}} {
		r := sound(at)
		deny(r, at)
		r.disturbed = spanned(faults...)
		c.Check(judge(r, plantedTerms), qt.HasLen, 0, qt.Commentf("%v", faults))
	}
	r := sound(at)
	deny(r, at)
	r.versions[0].ackedAt = at.Add(-time.Second)
	c.Check(judge(r, plantedTerms), qt.HasLen, 0)
	r.versions[0].ackedAt = time.Time{}
	c.Check(judge(r, plantedTerms), qt.HasLen, 0)
}
