package membership

import (
	"bytes"
	"encoding/gob"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newerMessage and olderMessage are Message and Entry as later and earlier builds could
// define them.
type (
	newerMessage struct {
		Kind    Kind
		From    string
		FromSeq uint64
		Weather map[string][]string
		Entries []newerEntry
	}
	newerEntry struct {
		ID    string
		State State
		Seq   uint64
		Racks []struct{ Name string }
	}
	olderMessage struct {
		Kind    Kind
		From    string
		Entries []olderEntry
	}
	olderEntry struct {
		ID    string
		State State
	}
)

func recode(c *qt.C, from, to any) {
	var wire bytes.Buffer
	c.Assert(gob.NewEncoder(&wire).Encode(from), qt.IsNil)
	c.Assert(gob.NewDecoder(&wire).Decode(to), qt.IsNil)
}

// Two builds exchange gossip during an upgrade. A field that one of them doesn't know
// must be ignored, and a field that is absent must stay empty. If a message were rejected
// because of such a field, each build would declare the other's members dead.
func TestMessagesOfOtherBuildsAreUnderstood(t *testing.T) {
	c := qt.New(t)
	var got Message
	recode(c, newerMessage{
		From: "m1", FromSeq: 7, Weather: map[string][]string{"hu": {"rain"}},
		Entries: []newerEntry{{ID: "m2", State: Suspect, Seq: 4, Racks: []struct{ Name string }{{"r1"}}}},
	}, &got)
	c.Check(got, qt.DeepEquals, Message{From: "m1", FromSeq: 7, Entries: []Entry{{ID: "m2", State: Suspect, Seq: 4}}})

	got = Message{}
	recode(c, olderMessage{From: "m1", Entries: []olderEntry{{ID: "m2", State: Dead}}}, &got)
	c.Check(got, qt.DeepEquals, Message{From: "m1", Entries: []Entry{{ID: "m2", State: Dead}}})

	var older olderMessage
	recode(c, Message{From: "m1", Version: 9, Entries: []Entry{{ID: "m2", State: Left, Service: "filing"}}}, &older)
	c.Check(older, qt.DeepEquals, olderMessage{From: "m1", Entries: []olderEntry{{ID: "m2", State: Left}}})
}
