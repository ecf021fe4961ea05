package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// twoZones starts nodes a and b of the filing service in one zone and c in another.
func (f *fleet) twoZones() (a, b, c *Node) {
	f.apply(filingProfiles)
	zone := func(name string) func(*Settings) { return func(s *Settings) { s.Zone = name } }
	a = f.add("a", "filing", 10, fileSlowly, zone("zone-1"))
	b = f.add("b", "filing", 10, fileSlowly, zone("zone-1"))
	c = f.add("c", "filing", 10, fileSlowly, zone("zone-2"))
	f.settle()
	return a, b, c
}

// partitionZones separates the two zones by a network partition, or heals it.
func (f *fleet) partitionZones(cut bool) {
	for _, host := range []string{"a", "b"} {
		if cut {
			f.net.Cut(host, "c")
			f.net.Cut("c", host)
			continue
		}
		f.net.Heal(host, "c")
		f.net.Heal("c", host)
	}
}

// A caller files, its session moves to another zone while the filing runs, and it
// retries there with the same key. The link between the zones takes 150 ms each way.
// The caller must get the answer of the single filing at both nodes.
func TestCallerThatMovesOverASlowLinkFilesOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, _, c := f.twoZones()
		f.net.SetDelay(func(from, to string) time.Duration {
			if (from == "c") != (to == "c") {
				return 150 * time.Millisecond
			}
			return 0
		})
		key := f.mintAt(a)
		first := make(chan reply, 1)
		go func() { first <- f.file(a, key) }()
		time.Sleep(100 * time.Millisecond)
		second := f.file(c, key)
		for _, got := range []reply{<-first, second, f.file(c, key)} {
			f.c.Check(got.outcome, qt.Equals, "complete")
			f.c.Check(got.body, qt.Equals, "filed op")
		}
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}

// A caller moves to another zone as above, and a network partition separates the zones
// while the filing runs. The node in the other zone can't know the outcome: it must
// neither run the filing nor report that it did not run. Once the link is back, the
// caller must get the answer of the filing.
func TestCallerThatMovesDuringAPartitionFilesOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, c := f.twoZones()
		key := f.mintAt(a)
		first := make(chan reply, 1)
		go func() { first <- f.file(a, key) }()
		time.Sleep(100 * time.Millisecond)
		f.partitionZones(true)
		for range 3 {
			got := f.file(c, key)
			f.c.Check(got.outcome, qt.Equals, "unknown", qt.Commentf("%s", got.reason))
			time.Sleep(time.Second)
		}
		f.c.Check((<-first).body, qt.Equals, "filed op")
		f.partitionZones(false)
		time.Sleep(30 * time.Second)
		for _, n := range []*Node{c, b, a} {
			got := f.file(n, key)
			f.c.Check(got.outcome, qt.Equals, "complete", qt.Commentf("%s", got.reason))
			f.c.Check(got.body, qt.Equals, "filed op")
		}
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}

// The first node is killed while the filing runs and before its answer has arrived. The
// caller retries in the other zone, at once and for two minutes. The filing must not
// run there, and the caller must never be told that it did not run.
func TestCallerThatMovesFromALostNodeGetsUnknown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, _, c := f.twoZones()
		key := f.mintAt(a)
		go f.file(a, key)
		time.Sleep(100 * time.Millisecond)
		f.c.Assert(f.runs.of("filing", "op"), qt.Equals, 1)
		f.net.Kill("a")
		a.Close()
		delete(f.nodes, "a")
		for range 20 {
			got := f.file(c, key)
			f.c.Check(got.outcome, qt.Equals, "unknown", qt.Commentf("%s", got.reason))
			time.Sleep(6 * time.Second)
		}
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}

// The link to a caller's first node is cut before its request for a reminder arrives,
// so the caller gets no answer. It retries in the other zone with the same key, which
// is its own. Once it is told that the call is complete, exactly one reminder must have
// been sent.
func TestReminderOfACallerThatMovesIsNotLost(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, _, c := f.twoZones()
		f.net.Cut("client", "a")
		go f.file(a, "reminder-7")
		time.Sleep(100 * time.Millisecond)
		got := f.file(c, "reminder-7")
		f.c.Check(got.outcome, qt.Equals, "complete", qt.Commentf("%s", got.reason))
		f.net.Heal("client", "a")
		time.Sleep(time.Second)
		f.c.Check(f.file(a, "reminder-7").body, qt.Equals, "filed op")
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}
