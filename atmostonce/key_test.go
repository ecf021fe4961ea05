package atmostonce

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A minted key is damaged in transit or forged. If it were accepted as a
// caller-supplied key, it would be claimed and run although the intact key has
// already run at its owner. Therefore text with the prefix of a minted key must
// be a valid minted key or be rejected.
func TestDamagedKeyIsNotTakenAsSupplied(t *testing.T) {
	c := qt.New(t)
	inc := NewIncarnation(testRandom(1))
	key := Mint("filing", inc, testStart, testRandom(2))
	parsed, minted, err := ParseKey(key.String())
	c.Assert(err, qt.IsNil)
	c.Assert(minted, qt.IsTrue)
	c.Assert(parsed == key, qt.IsTrue)
	text := key.String()
	for _, damaged := range []string{
		text[:len(text)-1], text + "0", text + ".", strings.ToUpper(text[4:]), strings.Replace(text, ".17", ".017", 1),
		strings.Replace(text, "filing", "Filing", 1), strings.Replace(text, "filing", "", 1), "pg1.", strings.Repeat("x", 201), "", "a b", "é",
	} {
		if _, minted, err := ParseKey(damaged); err == nil {
			c.Assert(minted, qt.IsFalse)
			c.Assert(strings.HasPrefix(damaged, keyPrefix), qt.IsFalse, qt.Commentf("%q", damaged))
		}
	}
}

// An upstream repeats an outgoing call, or its node derives the key again. The
// child key must be the same for the same call and different for any other
// call.
func TestChildKeys(t *testing.T) {
	c := qt.New(t)
	seen := map[string]string{}
	for _, parent := range []string{"p", "pf", ""} {
		for _, service := range []string{"filing", "iling", "billing"} {
			visit := NewVisit(parent)
			for _, own := range []string{"", "", "own", "0"} {
				id := visit.Child(service, own)
				c.Assert(seen[id], qt.Equals, "", qt.Commentf("%s %s %s", parent, service, own))
				seen[id] = parent + "/" + service
			}
			c.Assert(visit.Child(service, "own"), qt.Equals, NewVisit(parent).Child(service, "own"))
			c.Assert(NewVisit(parent).Child(service, ""), qt.Equals, ChildKey(parent, service, 0))
		}
	}
	inc := NewIncarnation(testRandom(1))
	child := MintChild("filing", inc, testStart.Add(time.Millisecond), ChildKey("p", "filing", 1))
	_, minted, err := ParseKey(child.String())
	c.Assert(err, qt.IsNil)
	c.Assert(minted, qt.IsTrue)
}

func FuzzParseKey(f *testing.F) {
	f.Fuzz(func(t *testing.T, s string) {
		key, minted, err := ParseKey(s)
		if err != nil {
			return
		}
		if key.String() != s {
			t.Fatalf("%q parsed as %q", s, key)
		}
		if minted != strings.HasPrefix(s, keyPrefix) {
			t.Fatalf("%q: minted is %v", s, minted)
		}
		if minted && mint(key.Service, key.Home, time.Unix(key.Minted, 0), key.Random) != key {
			t.Fatalf("%q isn't the canonical text of its parts", s)
		}
	})
}
