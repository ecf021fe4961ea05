package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"pollengauge.dev/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// running returns runs of requests without any known crash.
func running(fingerprints ...quarantine.Fingerprint) []quarantine.Running {
	var runs []quarantine.Running
	for _, f := range fingerprints {
		runs = append(runs, quarantine.Running{Fingerprint: f})
	}
	return runs
}

// known returns runs whose senders knew of the given number of crashes.
func known(crashes int, fingerprints ...quarantine.Fingerprint) []quarantine.Running {
	runs := running(fingerprints...)
	for i := range runs {
		runs[i].Known = crashes
	}
	return runs
}

// actions returns what may be done with each of the requests.
func actions(l *quarantine.Ledger, now time.Time, fingerprints ...quarantine.Fingerprint) []quarantine.Action {
	var all []quarantine.Action
	for _, f := range fingerprints {
		all = append(all, l.Decide(f, now).Action)
	}
	return all
}

// Guards against quarantining requests after a single crash, which may have any cause.
func TestOneCrashQuarantinesNothing(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger()
	blame := l.Blame(running(1, 2, 2, 3), start)
	c.Check(blame.Held, qt.HasLen, 0)
	c.Check(blame.Suspects, qt.DeepEquals, []quarantine.Fingerprint{1, 2, 3})
	c.Check(actions(l, start, 1, 2, 3), qt.DeepEquals, []quarantine.Action{quarantine.Run, quarantine.Run, quarantine.Run})
}

// Guards against quarantining the innocent requests that run beside the cause.
func TestInnocentsBesideTheCauseAreNotHeld(t *testing.T) {
	c := qt.New(t)
	const cause, both, fresh = 1, 2, 3
	first, second := quarantine.NewLedger(), quarantine.NewLedger()
	first.Blame(running(cause, both), start)
	blame := second.Blame(append(known(1, cause, both), running(fresh)...), start)
	c.Check(blame.Held, qt.HasLen, 2)
	c.Check(blame.Suspects, qt.DeepEquals, []quarantine.Fingerprint{fresh})
	c.Check(actions(second, start, cause, both, fresh), qt.DeepEquals, []quarantine.Action{quarantine.Hold, quarantine.Hold, quarantine.Run})

	later := start.Add(quarantine.HoldTime(2))
	c.Check(second.Begin(both, later).Action, qt.Equals, quarantine.Trial)
	c.Check(second.Begin(cause, later).Action, qt.Equals, quarantine.Hold)
	record, news := second.Completed(both, later)
	c.Check(news, qt.IsTrue)
	c.Check(record.Ends, qt.Equals, 0)

	c.Check(second.Begin(cause, later).Action, qt.Equals, quarantine.Trial)
	blame = second.Blame(running(cause, both, fresh), later)
	c.Check(blame.Held, qt.HasLen, 1)
	c.Check(blame.Held[0].Record, qt.Equals, quarantine.Record{Fingerprint: cause, Ends: 3, Stamp: 2})
	c.Check(actions(second, later, cause, both, fresh), qt.DeepEquals, []quarantine.Action{quarantine.Hold, quarantine.Run, quarantine.Run})
}

// Guards against quarantining a popular read because it was running at each upstream of
// a zone when the complete zone failed.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	c := qt.New(t)
	const popular = 7
	var members []*quarantine.Ledger
	for range 3 {
		members = append(members, quarantine.NewLedger())
	}
	for _, l := range members {
		c.Check(l.Blame(running(popular), start).Held, qt.HasLen, 0)
	}
	for _, l := range members {
		l.Suspect([]quarantine.Fingerprint{popular}, start)
		c.Check(actions(l, start, popular), qt.DeepEquals, []quarantine.Action{quarantine.Run})
	}
}

// Guards against quarantining a popular read when the upstreams of its zone fail one by
// one.
func TestPopularReadIsNotHeldForAZoneThatFails(t *testing.T) {
	c := qt.New(t)
	const popular = 7
	second := quarantine.NewLedger()
	popularRun := known(1, popular)
	popularRun[0].Completed = true
	c.Check(second.Blame(popularRun, start).Held, qt.HasLen, 0)
	c.Check(second.Blame(popularRun, start.Add(time.Second)).Held, qt.HasLen, 0)
	c.Check(second.Blame(popularRun, start.Add(4*time.Second)).Held, qt.HasLen, 1)
}

// Guards against quarantining a popular read permanently. It completes at a member
// where it was already running when the notice of the crashes arrived, which must clear
// it at all members.
func TestCompletionOverridesReportedCrashes(t *testing.T) {
	c := qt.New(t)
	const popular = 7
	l := quarantine.NewLedger()
	l.Suspect([]quarantine.Fingerprint{popular}, start)
	_, news := l.Completed(popular, start)
	c.Check(news, qt.IsFalse)
	told := quarantine.Record{Fingerprint: popular, Ends: 2, Stamp: 1}
	changed, answer, contradicts := l.Merge(told, start.Add(time.Second))
	c.Check(changed && contradicts, qt.IsTrue)
	c.Check(answer, qt.Equals, quarantine.Record{Fingerprint: popular, Ends: 0, Stamp: 2})
	c.Check(actions(l, start.Add(time.Second), popular), qt.DeepEquals, []quarantine.Action{quarantine.Run})

	other := quarantine.NewLedger()
	other.Merge(told, start)
	c.Check(actions(other, start, popular), qt.DeepEquals, []quarantine.Action{quarantine.Hold})
	other.Merge(answer, start)
	c.Check(actions(other, start, popular), qt.DeepEquals, []quarantine.Action{quarantine.Run})
}

// Guards against testing again and again whether a request still crashes upstreams:
// after the third crash, at most three more upstreams may be lost to it.
func TestTrialsOfOneRequestAreFew(t *testing.T) {
	c := qt.New(t)
	const cause = 1
	l := quarantine.NewLedger()
	now := start
	l.Blame(running(cause), now)
	ended := 1
	var thirdAt time.Time
	for now.Before(start.Add(20 * time.Hour)) {
		now = now.Add(time.Second)
		if l.Begin(cause, now).Action == quarantine.Hold {
			continue
		}
		l.Blame(running(cause), now)
		ended++
		if ended == 3 {
			thirdAt = now
		}
	}
	c.Check(ended <= 6, qt.IsTrue, qt.Commentf("%d upstreams crashed", ended))
	c.Check(thirdAt.Sub(start) >= quarantine.HoldTime(2), qt.IsTrue)
}

// Guards against forgetting a proven cause that completed once, for example at an
// upstream of another version: its next crash must quarantine it for as long as before.
func TestProvenCauseIsHeldAsBefore(t *testing.T) {
	c := qt.New(t)
	const cause = 1
	l := quarantine.NewLedger()
	l.Merge(quarantine.Record{Fingerprint: cause, Ends: 4, Stamp: 3}, start)
	l.Completed(cause, start)
	c.Check(actions(l, start, cause), qt.DeepEquals, []quarantine.Action{quarantine.Run})
	blame := l.Blame(running(cause), start.Add(time.Minute))
	c.Assert(blame.Held, qt.HasLen, 1)
	c.Check(blame.Held[0].Ends, qt.Equals, 5)
	_, known := l.Clear(cause, start.Add(2*time.Minute))
	c.Check(known, qt.IsTrue)
	c.Check(l.Blame(running(cause), start.Add(3*time.Minute)).Held, qt.HasLen, 0)
}

// Guards against unbounded memory use, caused by a stream of new requests or by the
// records of a faulty member, and against evicting the actual cause among them.
func TestLedgerIsBounded(t *testing.T) {
	c := qt.New(t)
	const cause = 1
	l := quarantine.NewLedger()
	l.Blame(known(1, cause), start)
	for i := range 10 * quarantine.MaxEntries {
		l.Suspect([]quarantine.Fingerprint{quarantine.Fingerprint(i + 2)}, start.Add(time.Duration(i)))
	}
	counts := l.Counts()
	c.Check(counts.Suspects+counts.Held <= quarantine.MaxEntries, qt.IsTrue, qt.Commentf("%+v", counts))
	c.Check(actions(l, start, cause), qt.DeepEquals, []quarantine.Action{quarantine.Hold})
	l.Sweep(start.Add(48 * time.Hour))
	c.Check(l.Empty(), qt.IsTrue)
}

// Guards against permanent disagreement between members: whatever records exist, and in
// whatever order and however often each member receives them, all members must reach
// the same state.
func TestMembersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Record {
			return quarantine.Record{
				Fingerprint: quarantine.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request")),
				Ends:        rapid.SampledFrom([]int{0, 2, 3, 4}).Draw(t, "ends"),
				Stamp:       uint64(rapid.IntRange(1, 5).Draw(t, "stamp")),
			}
		}), 1, 12).Draw(t, "records")
		var views []string
		for member := range 2 {
			l := quarantine.NewLedger()
			heard := rapid.Permutation(append(records, records...)).Draw(t, fmt.Sprint("heard", member))
			for _, r := range heard {
				l.Merge(r, start)
			}
			view := ""
			for f := range quarantine.Fingerprint(4) {
				view += fmt.Sprint(l.Decide(f, start).Ends, " ")
			}
			views = append(views, view)
		}
		if views[0] != views[1] {
			t.Fatalf("%q and %q", views[0], views[1])
		}
	})
}

// Guards against one trial per member: all members must select the same one, and
// different requests must not all be assigned to it.
func TestTrialMemberIsTheSameForAll(t *testing.T) {
	c := qt.New(t)
	chosen := make(map[string]int)
	for f := range quarantine.Fingerprint(300) {
		one := quarantine.TrialMember([]string{"a", "b", "c"}, f)
		c.Assert(quarantine.TrialMember([]string{"c", "a", "b"}, f), qt.Equals, one)
		chosen[one]++
	}
	for _, member := range []string{"a", "b", "c"} {
		c.Check(chosen[member] > 50, qt.IsTrue, qt.Commentf("%v", chosen))
	}
	c.Check(quarantine.TrialMember(nil, 1), qt.Equals, "")
}

// Guards against announcing more records than one update to the members can carry.
func TestAnnouncementsAreBounded(t *testing.T) {
	c := qt.New(t)
	var b quarantine.Announcements
	b.Post(quarantine.Record{Fingerprint: 1000, Ends: 3, Stamp: 1}, start)
	for i := range 100 {
		b.Post(quarantine.Record{Fingerprint: quarantine.Fingerprint(i), Ends: 2, Stamp: 1}, start.Add(time.Duration(i)))
	}
	records := b.Records()
	c.Check(records, qt.HasLen, quarantine.MaxAnnounced)
	c.Check(records[0].Fingerprint, qt.Equals, quarantine.Fingerprint(1000))
	c.Check(b.Withdraw(1000), qt.IsTrue)
	c.Check(b.Withdraw(1000), qt.IsFalse)
	c.Check(b.Sweep(start.Add(time.Hour)), qt.IsTrue)
	c.Check(b.Records(), qt.HasLen, 0)
}

func TestFingerprintsAreReadAsTheyAreWritten(t *testing.T) {
	c := qt.New(t)
	f, err := quarantine.ParseFingerprint(quarantine.Fingerprint(0x9c1e03a77d2b5f10).String())
	c.Assert(err, qt.IsNil)
	c.Check(f, qt.Equals, quarantine.Fingerprint(0x9c1e03a77d2b5f10))
	for _, wrong := range []string{"", "xyz", "-1", "11112222333344445"} {
		_, err := quarantine.ParseFingerprint(wrong)
		c.Check(err, qt.ErrorAs, new(*quarantine.FingerprintError), qt.Commentf("%q", wrong))
	}
}
