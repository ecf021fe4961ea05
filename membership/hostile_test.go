package membership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// unreachableTransport is a transport that reaches no peer.
type unreachableTransport struct{}

func (unreachableTransport) Exchange(context.Context, string, *Message) (*Message, error) {
	return nil, &ClosedError{}
}
func (unreachableTransport) Close() error { return nil }

var (
	ownID  = rawID("own-process-0001")
	peerID = rawID("known-peer-00001")
)

// newIdleGossip returns a Gossip that has not been started and knows one peer.
func newIdleGossip(c *qt.C) *Gossip {
	g, err := New(Config{
		Self:      Member{ID: ownID.hex(), Service: "filing", Addr: "10.0.0.1:7000", GossipAddr: "10.0.0.1:7946", Zone: "a", Region: "hu"},
		Transport: unreachableTransport{}, MaxMembers: 8,
	})
	c.Assert(err, qt.IsNil)
	_, err = g.Handle(c.Context(), &Message{From: string(peerID[:]), Entries: []Entry{peerEntry()}})
	c.Assert(err, qt.IsNil)
	return g
}

func peerEntry() Entry {
	return Entry{ID: string(peerID[:]), Seq: 5, Revision: 1, Epoch: 1, Service: "billing", Addr: "10.0.0.2:7000", GossipAddr: "10.0.0.2:7946", Zone: "b", Region: "hu"}
}

// A faulty peer claims that other members are gone, have moved or are far ahead in Seq,
// and that this process is dead or at another address. Accepting any of these claims
// would route callers to the wrong VM, or hide a running member for good.
func TestFalseClaims(t *testing.T) {
	c := qt.New(t)
	g := newIdleGossip(c)
	claim := func(change func(*Entry)) Member {
		e := peerEntry()
		change(&e)
		_, err := g.Handle(c.Context(), &Message{From: string(peerID[:]), Entries: []Entry{e}})
		c.Assert(err, qt.IsNil)
		m, _, _ := g.Lookup(peerID.hex())
		return m
	}
	before, _, _ := g.Lookup(peerID.hex())
	c.Assert(claim(func(e *Entry) { e.Seq, e.Addr = 9, "10.9.9.9:7000" }), qt.DeepEquals, before)
	c.Assert(claim(func(e *Entry) { e.Seq, e.Slots = maxSeq, 4 }), qt.DeepEquals, before)
	c.Assert(claim(func(e *Entry) { *e = Entry{ID: e.ID, State: Dead, Seq: 5} }), qt.DeepEquals, before)
	c.Assert(g.doubts, qt.HasLen, 1)
	c.Assert(g.Stats().Conflicts, qt.Equals, uint64(1))
	c.Assert(g.Stats().SeqOutOfRange, qt.Equals, uint64(1))

	own := g.Self()
	claim(func(e *Entry) { e.ID = string(ownID[:]) })
	claim(func(e *Entry) { *e = Entry{ID: string(ownID[:]), State: Left, Seq: 40} })
	refuted := g.Self()
	c.Assert(refuted.Seq > 40, qt.IsTrue)
	refuted.Seq = own.Seq
	c.Assert(refuted, qt.DeepEquals, own)

	var failure *InvalidError
	_, err := g.Handle(c.Context(), &Message{From: "short"})
	c.Assert(err, qt.ErrorAs, &failure)
	c.Assert(g.Update(func(m *Member) { m.Slots = -1 }), qt.ErrorMatches, "membership config: Slots.*")
}

// The first claim received about a member is corrupt and has a Seq near the end of the
// range. Every true announcement then looks outdated, until a probe of the member shows
// the member's own Seq.
func TestForgedSeqIsForgotten(t *testing.T) {
	c := qt.New(t)
	g := newIdleGossip(c)
	e := peerEntry()
	e.ID, e.GossipAddr, e.Seq = "forged-peer-0001", "10.0.0.3:7946", maxSeq
	g.table.apply(&e, time.Now())
	g.table.forgetCorruptSeq(rawID(e.ID), 6)
	e.Seq = 6
	v, err := g.table.apply(&e, time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(v, qt.Equals, claimApplied)
}

// FuzzHandle sends a Gossip that knows one peer three messages with arbitrary claims.
// Whatever they contain, the table must stay consistent, and no peer may change this
// process's own entry.
func FuzzHandle(f *testing.F) {
	f.Add(uint8(0), string(peerID[:]), string(peerID[:]), uint8(2), uint64(5), uint64(1), "billing", "10.0.0.2:7946", uint32(3), []byte{1}, uint64(0))
	f.Add(uint8(2), "another-sender-1", string(ownID[:]), uint8(3), uint64(9), uint64(1<<47), "filing", "10.0.0.1:7946", uint32(0), make([]byte, bucketCount*bucketBytes), uint64(7))
	f.Add(uint8(1), "another-sender-1", "a-newcomer-00001", uint8(0), uint64(1), uint64(0), "filing", "10.0.0.1:7946", uint32(1<<30), []byte(nil), uint64(0))
	f.Fuzz(func(t *testing.T, kind uint8, from, id string, state uint8, seq, epoch uint64, service, addr string, slots uint32, buckets []byte, version uint64) {
		c := qt.New(t)
		g := newIdleGossip(c)
		own := g.Self()
		for _, s := range []State{State(state), Suspect, State(state)} {
			e := Entry{ID: id, State: s, Seq: seq, Revision: min(seq, 1+uint64(slots%2)), Epoch: epoch, Service: service, Addr: addr, GossipAddr: addr, Zone: "a", Region: "hu", Slots: slots, Inherits: []string{id}}
			reply, err := g.Handle(c.Context(), &Message{Kind: Kind(kind), From: from, FromSeq: seq, Target: id, Entries: []Entry{e}, Buckets: buckets, Version: version, Data: buckets})
			if err == nil {
				c.Assert(reply.validate(&g.cfg), qt.IsNil)
			}
		}
		now := g.Self()
		now.Seq, now.Epoch, now.Revision = own.Seq, own.Epoch, own.Revision
		c.Assert(now, qt.DeepEquals, own)
		c.Assert(tableFault(g.table), qt.Equals, "")
	})
}

// tableFault recomputes the data that the table derives from its rows, and returns the
// name of the part that doesn't match, or "".
func tableFault(t *table) string {
	own := fullEntry(t.self.id, &t.self.m)
	if err := own.validate(); err != nil {
		return err.Error()
	}
	var digest [bucketCount]uint32
	alive := 0
	for id, row := range t.rows {
		if row.m.State.gone() {
			continue
		}
		alive++
		digest[bucketOf(id)] ^= uint32(position(id, row.m.Seq))
		if t.holderByAddr[row.m.GossipAddr] != id {
			return "holder of " + row.m.GossipAddr
		}
	}
	switch {
	case len(t.holderByAddr) != alive || t.alive != alive:
		return "count of living members"
	case t.digest != digest:
		return "digest"
	case len(t.order) != len(t.rows) || len(t.rows) > t.cfg.MaxMembers:
		return "count of rows"
	}
	return ""
}
