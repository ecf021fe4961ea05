package soak

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var plantedTerms = terms{
	allowed:  map[string][]string{"/file/": {"filing"}, pathBrowse: {"web"}, "/probe/": {"web", "filing"}},
	vms:      6,
	attempts: 2, timeout: time.Second, drain: 2 * time.Second,
	retryRatio: 0.2, retrySlack: 8, retryWindow: 10 * time.Second, maxLateShare: 0.25, learning: 5 * time.Second, timed: true, planned: true,
}

// sound returns a record without violations: one request that was served correctly.
func sound(at time.Time) *record {
	r := &record{}
	r.sent = []sent{{id: "a", vm: 1, at: at, path: "/file/x", method: "POST", body: "b", unsafe: true, origin: "web"}}
	r.runs = []run{{id: "a", at: at, vm: 1, service: "filing", instance: "i-1", method: "POST", path: "/file/x", body: "b", origin: "web", executed: true, status: 200, signature: "s", answer: "yes"}}
	r.answers = []answered{{id: "a", vm: 1, at: at, took: time.Millisecond, status: 200, signature: "s", body: "yes", complete: true}}
	return r
}

// A checker that can't fail proves nothing. Each checker gets a record that is sound
// but for one planted violation, and must report exactly this violation.
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
		{"a key passed on to an upstream", "key", func(r *record) { r.runs[0].keyed = true }},
		{"another tenant", "tenant", func(r *record) { r.runs[0].tenant = "press" }},
		{"a key of no tenant", "stranger", func(r *record) { r.sent[0].keyUnknown = true }},
		{"more than a limit", "limit", func(r *record) {
			r.sent[0].tenant, r.runs[0].tenant = "press", "press"
			for i := range 190 {
				id := "l" + strconv.Itoa(i)
				r.sent = append(r.sent, sent{id: id, path: "/file/x", method: "POST", body: "b", origin: "web", tenant: "press"})
				x := again(r)
				x.id, x.at, x.tenant = id, at.Add(time.Duration(i)*20*time.Millisecond), "press"
				r.runs = append(r.runs, x)
			}
		}},
		{"wrong origin", "asked", func(r *record) { r.runs[0].origin = "filing" }},
		{"service that no configuration allows", "route", func(r *record) { r.runs[0].service = "web" }},
		{"second run", "once", func(r *record) { r.runs = append(r.runs, again(r)) }},
		{"refused though it ran", "not-run", func(r *record) { r.answers[0].status = 503; r.answers[0].signature = "" }},
		{"success that nobody signed", "answer", func(r *record) { r.answers[0].signature = "" }},
		{"answer of another request", "answer", func(r *record) { r.answers[0].signature = "t" }},
		{"failure turned into success", "answer", func(r *record) { r.runs[0].status = 500 }},
		{"short body that looks complete", "answer", func(r *record) { r.answers[0].body = "y" }},
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
		{"old configuration long after the acknowledgement", "in-force", func(r *record) {
			acked := at.Add(-inForceWithin - time.Second)
			r.versions = []version{{number: 1, sentAt: acked.Add(-time.Minute), ackedAt: acked.Add(-time.Minute), probe: "web"}, {number: 2, sentAt: acked, ackedAt: acked, probe: "filing"}}
			r.probes = []probe{{1, 1, at, "web"}}
		}},
		{"version before it was sent", "version", func(r *record) {
			r.versions = []version{{number: 1, sentAt: at.Add(time.Second), probe: "web"}}
			r.probes = []probe{{1, 1, at, "web"}}
		}},
		{"process that exited unexpectedly", "process", func(r *record) { r.exits = []processExit{{1, at, "exit 2"}} }},
		{"request after the drain's bound", "drain", func(r *record) {
			r.drainNotices = []drainNotice{{instance: "i-1", vm: 1, at: at.Add(-5 * time.Second)}}
		}},
		{"the same, after a restart of its node", "drain", func(r *record) {
			r.drainNotices = []drainNotice{{instance: "i-1", vm: 1, at: at.Add(-5 * time.Second)}}
			r.disturbed = []disturbed{{vm: 1, from: at.Add(-4 * time.Second), to: at, fault: killNode}, {vm: 1, from: at.Add(-6 * time.Second), to: at, fault: replaceUpstream}}
		}},
		{"request after the drain's bound to an upstream that stated its departure", "leaving", func(r *record) { depart(r, at) }},
		{"the same, with its store cut off", "leaving", func(r *record) {
			depart(r, at)
			r.disturbed = []disturbed{{vm: 1, from: at.Add(-time.Second), to: at, fault: cutStore}}
		}},
		{"more than a stated limit", "stated-limit", func(r *record) { exceed(r, at, 120) }},
		{"retry storm", "retries", func(r *record) {
			r.sent[0].unsafe = false
			for range 20 {
				x := again(r)
				x.executed = false
				r.runs = append(r.runs, x)
			}
		}},
		{"responses after the timeout", "timeout", func(r *record) {
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
		{"answer of the request before on a shared connection", "order", func(r *record) { r.answers[0].echo = "b" }},
		{"unsolicited bytes after the response", "order", func(r *record) { r.batches = []batch{{ids: []string{"a"}, answered: 1, extra: 7}} }},
		{"run of a request pipelined behind a response that closed the connection", "close", func(r *record) {
			r.batches = []batch{{ids: []string{"b", "a"}, answered: 1, closes: true}}
		}},
		{"half of an upload runs", "half", func(r *record) { r.sent[0].incomplete = true; r.answers = nil }},
		{"half of an upload is answered as done", "half", func(r *record) { r.sent[0].incomplete = true; r.runs[0].executed = false }},
		{"uploads fill the memory", "memory", func(r *record) { r.usages = []usage{{vm: 1, at: at, bytes: memoryLimit + 1}} }},
		{"upstream that came back gets nothing", "return", func(r *record) {
			r.restarts = []restarted{{vm: 1, incarnation: 2, at: at.Add(-2 * servedWithin)}}
		}},
		{"request that continues to crash upstreams", "held", func(r *record) {
			for i := range 8 {
				id := "fatal" + string(rune('0'+i))
				r.sent = append(r.sent, sent{id: id, vm: 1, path: pathBrowse + fatalPart, method: "GET", origin: "web"})
				r.runs = append(r.runs, run{id: id, at: at.Add(time.Duration(i) * 2 * time.Second), vm: 1, service: "web", instance: "i-2", method: "GET", path: pathBrowse + fatalPart, origin: "web", executed: true})
			}
		}},
		{"request that ran and got no response", "lost", func(r *record) {
			r.sent[0].wait = time.Second
			r.answers[0] = answered{id: "a", vm: 1, at: at, took: time.Millisecond, failure: "EOF"}
		}},
		{"request that was read and got no response", "lost", func(r *record) {
			r.sent[0].wait, r.runs = time.Second, nil
			r.answers[0] = answered{id: "a", vm: 1, at: at.Add(2 * lostAfter), took: 2 * lostAfter, sentAt: at, failure: "EOF"}
		}},
		{"entry of another writer is overwritten", "foreign", func(r *record) { r.entries = []entry{{kind: "config", name: "x", wrote: "7", found: "8"}} }},
		{"entry of another writer is gone", "foreign", func(r *record) { r.entries = []entry{{kind: "config", name: "x", wrote: "7"}} }},
		{"refused in one zone, run in both", "once", func(r *record) {
			move(r, at)
			r.runs = append(r.runs, again(r))
			r.runs[1].at = at.Add(3 * time.Second)
		}},
		{"refused in one zone though it ran there", "not-run", func(r *record) {
			move(r, at)
			r.runs[0].at = at.Add(time.Millisecond)
		}},
		{"customers that move don't widen the bound of attempts", "attempts", func(r *record) {
			r.sent[0].unsafe = false
			move(r, at)
			x := r.runs[0]
			for _, id := range []string{"b", "c", "d", "e"} {
				r.sent = append(r.sent, r.sent[0], r.sent[1])
				r.sent[len(r.sent)-2].id, r.sent[len(r.sent)-1].id = id, id
				x.at = x.at.Add(time.Minute) // a retry window of its own for each, so that the retries rule stays silent
				for range 5 {
					x.id = id
					r.runs = append(r.runs, x)
				}
			}
		}},
	} {
		r := sound(at)
		test.plant(r)
		c.Check(rules(judge(r, plantedTerms)), qt.DeepEquals, []string{test.rule}, qt.Commentf("%s", test.name))
	}
}

// deny plants a 404 on an added route that the store acknowledged 10 s before.
func deny(r *record, at time.Time) {
	r.versions = append(r.versions, version{number: len(r.versions) + 1, sentAt: at.Add(-10 * time.Second), ackedAt: at.Add(-10 * time.Second), probe: "web", added: 2})
	r.sent = append(r.sent, sent{id: "new", vm: 1, at: at, path: addedPrefix(1) + "x", method: "GET", origin: "web"})
	r.answers = append(r.answers, answered{id: "new", vm: 1, at: at, status: 404, complete: true})
}

// move changes the record so that the request is refused in one zone, sent again to
// the other zone and run there.
func move(r *record, at time.Time) {
	resent := r.sent[0]
	resent.vm, resent.at = 2, at.Add(2*time.Second)
	r.sent = append(r.sent, resent)
	r.runs[0].at = resent.at.Add(time.Millisecond)
	r.answers = append([]answered{{id: "a", vm: 1, at: at.Add(time.Second), status: 503, complete: true}}, r.answers...)
	r.answers[1].at = resent.at.Add(2 * time.Millisecond)
}

// A new incarnation of a process may start with an older configuration, and the drain
// bound does not apply to a process that was paused.
func TestAllowedCasesAreNoFindings(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	r := sound(at)
	r.versions = []version{{number: 1, sentAt: at, probe: "web"}, {number: 2, sentAt: at, probe: "filing"}}
	r.probes = []probe{{1, 1, at.Add(1), "filing"}, {1, 2, at.Add(2), "web"}, {1, 2, at.Add(3), "filing"}}
	r.drainNotices = []drainNotice{{instance: "i-1", vm: 1, at: at.Add(-5 * time.Second)}}
	r.disturbed = []disturbed{{vm: 1, from: at.Add(-time.Second), to: at.Add(time.Second), fault: pauseNode}}
	c.Check(judge(r, plantedTerms), qt.HasLen, 0)
}

// A VM may deny a route that it could not have learned of: the VM was down, it was cut
// off from both the store and other nodes, or the route's acknowledgement is recent or
// missing.
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

// A request may cross the close of its connection, if no upstream receives it, and a
// customer may give up.
func TestRequestsThatCrossACloseAreNoFindings(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	r := sound(at)
	r.sent[0].wait, r.runs = time.Second, nil
	r.answers[0] = answered{id: "a", vm: 1, at: at.Add(lostAfter / 2), took: lostAfter / 2, sentAt: at, failure: "EOF"}
	c.Check(judge(r, plantedTerms), qt.HasLen, 0)
	r.answers[0].took = time.Second
	c.Check(judge(r, plantedTerms), qt.HasLen, 0)
}

// A request that is refused in one zone may run in the other after its customer sends
// it again there.
func TestMovesAreNoFindings(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	r := sound(at)
	move(r, at)
	c.Check(judge(r, plantedTerms), qt.HasLen, 0)
}

// depart plants a request that reaches an upstream long after its VM passed on that the
// upstream leaves.
func depart(r *record, at time.Time) {
	r.sent[0].vm, r.answers[0].at = 1, at.Add(-5*time.Second)
	r.runs[0].stated.leaving = true
}

// exceed plants requests to an upstream that names a limit of 10 a second.
func exceed(r *record, at time.Time, count int) {
	for i := range count {
		id := "e" + strconv.Itoa(i)
		r.sent = append(r.sent, sent{id: id, vm: 1, path: "/file/x", method: "POST", body: "b", origin: "web"})
		x := r.runs[0]
		x.id, x.at, x.signature, x.stated = id, at.Add(time.Duration(i)*50*time.Millisecond), id, stated{limit: 10}
		r.runs = append(r.runs, x)
		r.answers = append(r.answers, answered{id: id, vm: 1, at: x.at, took: time.Millisecond, status: 200, signature: id, body: "yes", complete: true})
	}
}
