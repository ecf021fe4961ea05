package atmostonce

import (
	"bytes"
	"encoding/gob"
	"testing"

	qt "github.com/frankban/quicktest"
)

// During an upgrade, a node of an older build hands its keys over to a node of
// a newer build, or the reverse. Fields that only one of the builds knows must
// not prevent the transfer of the fields that both know.
func TestHandOverBetweenBuilds(t *testing.T) {
	c := qt.New(t)
	type newerRecord struct {
		Key, RequestID string
		Home           Incarnation
		Done           bool
		Weights        []float64
	}
	type newerChunk struct {
		From, To   Incarnation
		Seq, Total int
		Entries    []newerRecord
		Region     string
	}
	sent := newerChunk{From: "a", To: "b", Total: 1, Region: "hu", Entries: []newerRecord{{Key: "k", RequestID: "r", Home: "a", Done: true, Weights: []float64{1}}}}
	want := Chunk{From: "a", To: "b", Total: 1, Entries: []EntryRecord{{Key: "k", RequestID: "r", Home: "a", Done: true}}}
	var wire bytes.Buffer
	c.Assert(gob.NewEncoder(&wire).Encode(sent), qt.IsNil)
	var got Chunk
	c.Assert(gob.NewDecoder(&wire).Decode(&got), qt.IsNil)
	c.Check(got, qt.DeepEquals, want)

	want.Entries[0].Durable = true
	c.Assert(gob.NewEncoder(&wire).Encode(want), qt.IsNil)
	var older newerChunk
	c.Assert(gob.NewDecoder(&wire).Decode(&older), qt.IsNil)
	sent.Region, sent.Entries[0].Weights = "", nil
	c.Check(older, qt.DeepEquals, sent)
}
