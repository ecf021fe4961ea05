package config

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Nodes of two builds run side by side, and an operator applies a Set with a field
// that only the newer build knows. If the older build dropped the field, one
// version would have two meanings. It must reject the Set, both from the platform
// and from a peer, and keep its last one. Unknown fields outside the Set belong to
// the history and are ignored.
func TestSetWithUnknownFieldsIsRejected(t *testing.T) {
	c := qt.New(t)
	set := Default()
	set.Version = 3
	value, err := json.Marshal(Document{Set: set})
	c.Assert(err, qt.IsNil)
	_, err = DecodeDocument(value)
	c.Assert(err, qt.IsNil)

	around := bytes.Replace(value, []byte(`{"set"`), []byte(`{"signedBy":"anna","set"`), 1)
	_, err = DecodeDocument(around)
	c.Check(err, qt.IsNil)

	for _, place := range []string{`"profiles":[{`, `"assignments":[{`, `"limits":{`} {
		newer := bytes.Replace(value, []byte(place), []byte(place+`"hedge":2,`), 1)
		c.Assert(newer, qt.Not(qt.DeepEquals), value)
		var refused *EncodingError
		_, err = DecodeDocument(newer)
		c.Check(err, qt.ErrorAs, &refused, qt.Commentf("%s from the platform", place))
		var document struct {
			Set json.RawMessage `json:"set"`
		}
		c.Assert(json.Unmarshal(newer, &document), qt.IsNil)
		store := NewStore()
		_, err = store.Offer(document.Set, SourcePeer)
		c.Check(err, qt.ErrorAs, &refused, qt.Commentf("%s from a peer", place))
		c.Check(store.Current().Version(), qt.Equals, uint64(0))
	}
}
