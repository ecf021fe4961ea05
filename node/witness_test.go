package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/atmostonce"
)

var witnessedProfiles = strings.Replace(filingProfiles, "unrepeatable: true, key: optional, record: none", "unrepeatable: true, key: optional, record: peer", 1)

func inZone(zone string) func(*Settings) { return func(s *Settings) { s.Zone = zone } }

func withoutWitness(s *Settings) { s.Ablate.NoWitness = true }

// zonedFilers starts a, b and c in three zones. Only a has an upstream for the filing
// service, so b and c take no part in its calls and only know of them through notes.
func (f *fleet) zonedFilers(h handler, adjust ...func(*Settings)) (a, b, c *Node) {
	f.apply(witnessedProfiles)
	a = f.add("a", "filing", 50, h, append(adjust, inZone("zone-a"))...)
	b = f.add("b", "portal", 1, answerOK, append(adjust, inZone("zone-b"))...)
	c = f.add("c", "portal", 1, answerOK, append(adjust, inZone("zone-c"))...)
	f.settle()
	return a, b, c
}

func (f *fleet) listed(nodes ...*Node) map[string]FateView {
	fates := make(map[string]FateView)
	for _, n := range nodes {
		response, err := n.fatesEndpoint()(f.t.Context(), FatesRequest{Filters: atmostonce.AttentionFilters(longRunning)})
		f.c.Assert(err, qt.IsNil)
		for _, fate := range response.(FatesResponse).Fates {
			fates[fate.Key] = fate
		}
	}
	return fates
}

// fileAt starts count filings at a node and gives them 100 ms to be dispatched.
func (f *fleet) fileAt(n *Node, count int) {
	for i := range count {
		go f.ask(n, http.MethodPost, "/file", "X-Operation", "op"+strconv.Itoa(i))
	}
	time.Sleep(100 * time.Millisecond)
}

// kill stops a node without a drain. lose also waits until the other nodes consider it
// dead.
func (f *fleet) kill(name string) {
	f.net.Kill(name)
	f.nodes[name].Close()
	delete(f.nodes, name)
}

func (f *fleet) lose(name string) {
	f.kill(name)
	time.Sleep(20 * time.Second)
}

// A VM is lost with filings in flight that ran on it alone and whose callers never
// retry. Its key table is lost with it, and no other node took part in the calls. Each
// of these filings must be listed for operators, and no filing that completed.
func TestFilingsThatOnlyTheLostOwnerKnewAreListed(t *testing.T) {
	for _, adjust := range []func(*Settings){func(*Settings) {}, withoutWitness} {
		inFleet(t, func(f *fleet) {
			a, b, c := f.zonedFilers(fileSlowly, adjust)
			want := 20
			if a.settings.Ablate.NoWitness {
				want = 0
			}
			f.c.Check(f.file(a, f.mintAt(a)).outcome, qt.Equals, "complete")
			time.Sleep(2 * witnessInterval)
			f.fileAt(a, 20)
			f.c.Check(f.listed(b, c), qt.HasLen, 0)
			f.lose("a")
			fates := f.listed(b, c)
			f.c.Check(fates, qt.HasLen, want)
			for _, fate := range fates {
				f.c.Check(fate.Home, qt.Equals, a.ID())
				f.c.Check(fate.State, qt.Equals, "unknown")
				f.c.Check(fate.Profile, qt.Equals, "filing")
			}
		})
	}
}

// The witness is killed, paused or separated by a network partition while filings are
// in flight, and more filings arrive right then. One filing may wait for the witness,
// once, and must complete. Another member must get all notes that the lost witness had:
// when their owner is lost as well, all filings must be listed.
func TestAnotherMemberGetsTheNotesWhenTheWitnessFails(t *testing.T) {
	faults := map[string]func(f *fleet, name string){
		"killed":      (*fleet).kill,
		"paused":      func(f *fleet, name string) { f.net.Freeze(name) },
		"partitioned": func(f *fleet, name string) { f.net.Cut("a", name) },
	}
	for fault, inject := range faults {
		t.Run(fault, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				a, _, _ := f.zonedFilers(func(w http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
					if r.Header.Get("X-Operation") != "quick" {
						time.Sleep(10 * time.Second)
					}
				})
				f.fileAt(a, 5)
				name, remaining := f.witnessOf(a)
				inject(f, name)
				start := time.Now()
				f.c.Check(f.ask(a, http.MethodPost, "/file", "X-Operation", "quick").outcome, qt.Equals, "complete")
				f.c.Check(time.Since(start) <= witnessWait, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
				f.fileAt(a, 5)
				time.Sleep(30 * time.Second)
				f.lose("a")
				if fault == "partitioned" {
					remaining = append(remaining, f.nodes[name])
				}
				f.c.Check(f.listed(remaining...), qt.HasLen, 10)
				f.net.HealAll()
				f.net.Thaw(name)
			})
		})
	}
}

// witnessOf returns the name of a node's witness, and the remaining nodes.
func (f *fleet) witnessOf(n *Node) (witness string, others []*Node) {
	member, ok := n.pickWitness(n.now())
	f.c.Assert(ok, qt.IsTrue)
	for name, other := range f.nodes {
		switch other.ID() {
		case member.ID:
			witness = name
		case n.ID():
		default:
			others = append(others, other)
		}
	}
	return witness, others
}

// A node drains with filings in flight and one key whose fate is unknown. The filings
// complete, and the successor takes over the unknown fate and lists it once. The
// witness, which had notes of all, must list nothing. When the successor is lost too,
// the unknown fate is in no table any more, and the witness must list it.
func TestOwnerThatLeavesIsNotLost(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(witnessedProfiles)
		file := func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			if r.Header.Get("X-Operation") == "breaks" {
				panic(http.ErrAbortHandler)
			}
			// The filing ends between two rounds of updates to the witness.
			time.Sleep(1300 * time.Millisecond)
		}
		a := f.add("a", "filing", 50, file, inZone("zone-a"))
		b := f.add("b", "filing", 50, file, inZone("zone-a"))
		c := f.add("c", "portal", 1, answerOK, inZone("zone-b"))
		f.settle()
		f.c.Check(f.ask(a, http.MethodPost, "/file", "X-Operation", "breaks").outcome, qt.Equals, "unknown")
		f.fileAt(a, 10)
		f.c.Check(c.witnesses.heldNotes.Len(), qt.Equals, 11)
		f.c.Assert(a.Drain(f.t.Context()), qt.IsNil)
		delete(f.nodes, "a")
		time.Sleep(5 * time.Second)
		f.c.Check(f.listed(c), qt.HasLen, 0)
		f.c.Check(f.listed(b), qt.HasLen, 1)
		f.lose("b")
		f.c.Check(f.listed(c), qt.HasLen, 1)
	})
}

// A node and its witness are lost at the same time. No member knows of the filings any
// more, and they are not listed. The operators' page documents this limit; this test
// should fail if it is ever lifted.
func TestOwnerAndWitnessLostTogether(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, _, _ := f.zonedFilers(fileSlowly)
		f.fileAt(a, 5)
		name, others := f.witnessOf(a)
		f.kill("a")
		f.lose(name)
		f.c.Check(f.listed(others...), qt.HasLen, 0)
	})
}

// The other member runs an older build, which must not take a message with notes for a
// call. Filings must go on after one refusal, without waiting.
func TestOlderMemberIsNoWitness(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(witnessedProfiles)
		a := f.add("a", "filing", 10, answerOK, inZone("zone-a"))
		f.add("b", "filing", 10, answerOK, inZone("zone-b"), withoutWitness)
		f.settle()
		start := time.Now()
		for range 3 {
			f.c.Check(f.file(a, f.mintAt(a)).outcome, qt.Equals, "complete")
		}
		f.c.Check(time.Since(start), qt.Equals, time.Duration(0))
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 3)
		f.c.Check(f.runs.of("filing", ""), qt.Equals, 0)
		f.c.Check(a.metrics.WitnessNotes.With(noteConfirmed).Count(), qt.Equals, int64(0))
		f.c.Check(a.metrics.WitnessNotes.With(noteNoMember).Count() >= 2, qt.IsTrue)
	})
}

// Requests on the peer port may not come from a member. An unknown member, a message
// that exceeds the limits and invalid JSON must be refused and must leave no note.
func TestNotesOfUnknownMembersAreRefused(t *testing.T) {
	inFleet(t, func(f *fleet) {
		a, b, _ := f.zonedFilers(answerOK)
		long := atmostonce.Note{Number: 1, Key: strings.Repeat("x", maxNoteText+1)}
		f.c.Check((&witnessMessage{Notes: make([]atmostonce.Note, maxNotesSent+1)}).check(), qt.IsNotNil)
		f.c.Check((&witnessMessage{Notes: []atmostonce.Note{long}}).check(), qt.IsNotNil)
		f.c.Check((&witnessMessage{Open: &atmostonce.OpenNotes{Numbers: []uint64{2, 1}}}).check(), qt.IsNotNil)
		f.c.Check(b.storeNotes(witnessMessage{Home: "nobody", Notes: []atmostonce.Note{{Number: 1}}}), qt.Equals, http.StatusForbidden)
		member, _, _ := a.gossip.Lookup(b.ID())
		f.c.Check(a.postWitness(f.t.Context(), member.Addr, witnessMessage{Home: "nobody"}), qt.ErrorMatches, ".*Forbidden")
		conn, err := f.net.Host("client").Dial(f.t.Context(), member.Addr)
		f.c.Assert(err, qt.IsNil)
		defer func(c net.Conn) { _ = c.Close() }(conn)
		_, _ = io.WriteString(conn, "POST "+witnessPath+" HTTP/1.0\r\nHost: "+witnessHost+"\r\nContent-Length: 3\r\n\r\n{]}")
		answer, _ := io.ReadAll(conn)
		f.c.Check(string(answer), qt.Contains, " 400 ")
		f.c.Check(b.witnesses.heldNotes.Len(), qt.Equals, 0)
	})
}

// FuzzWitnessMessage posts arbitrary bodies as messages with notes. None may panic, and
// none may leave more notes, longer notes or later expiry times than the limits allow.
func FuzzWitnessMessage(f *testing.F) {
	f.Add(`{"home":"H","notes":[{"number":1,"key":"k","since":"2000-01-01T00:00:00Z","expires":"2300-01-01T00:00:00Z"}]}`)
	f.Add(`{"home":"H","open":{"seq":18446744073709551615,"through":18446744073709551615,"numbers":[1,1,2]}}`)
	f.Add(`{"home":"H","open":null,"notes":null}`)
	f.Add(`{"home":"H","notes":[{"number":-1}]}`)
	f.Add(`{"home":`)
	f.Fuzz(func(t *testing.T, body string) {
		inFleet(t, func(f *fleet) {
			a := f.add("a", "filing", 1, answerOK)
			b := f.add("b", "filing", 1, answerOK)
			f.settle()
			w := httptest.NewRecorder()
			b.serveWitness(w, httptest.NewRequest(http.MethodPost, witnessPath, strings.NewReader(strings.Replace(body, `"H"`, `"`+a.id+`"`, 1))))
			f.c.Check(w.Code == http.StatusNoContent || w.Code >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("%d", w.Code))
			f.c.Check(b.witnesses.heldNotes.Len() <= maxNotesSent, qt.IsTrue)
			for _, note := range b.witnesses.heldNotes.OrphanedNotes(b.now(), func(atmostonce.Incarnation) bool { return false }) {
				f.c.Check(len(note.Key) <= maxNoteText && note.Expires.Sub(b.now()) <= b.settings.KeyWindow, qt.IsTrue)
			}
		})
	})
}
