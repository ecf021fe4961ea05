package config

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
)

// Operators store a version of a newer build, which this build rejects. Its version
// number must still be read, because otherwise the node could not report that it is
// behind.
func TestStoredVersionOfRejectedDocument(t *testing.T) {
	c := qt.New(t)
	value := []byte(`{"set":{"version":7,"fieldOfANewerBuild":1}}`)
	_, err := NewStore().OfferObject(objects.Object{Kind: ObjectKind, Name: ObjectName, Value: value})
	c.Assert(err, qt.IsNotNil)
	version, ok := StoredVersion(value)
	c.Check(ok, qt.IsTrue)
	c.Check(version, qt.Equals, uint64(7))
	_, ok = StoredVersion([]byte(`{"set":{}}`))
	c.Check(ok, qt.IsFalse)
}

// Nodes report versions in any order. A lower version must not replace a higher
// one, an expired one must not count, and the active version must not count as
// newer.
func TestKnownVersions(t *testing.T) {
	c := qt.New(t)
	s := NewStore()
	start := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	s.RecordVersionNotice(5, at(0), at(0))
	s.RecordVersionNotice(3, at(time.Second), at(time.Second))
	newest, when := s.Newest(at(2 * time.Second))
	c.Check(newest, qt.Equals, uint64(5))
	c.Check(when, qt.Equals, at(0))
	c.Check(s.IsBehind(at(KnownVersionLifetime-1)), qt.IsTrue)
	c.Check(s.IsBehind(at(KnownVersionLifetime)), qt.IsFalse)
	s.RecordVersionNotice(6, at(0), at(KnownVersionLifetime))
	s.RecordVersionNotice(4, at(0), at(KnownVersionLifetime))
	newest, _ = s.Newest(at(KnownVersionLifetime))
	c.Check(newest, qt.Equals, uint64(0))
	s.RecordVersionNotice(4, at(1), at(KnownVersionLifetime))
	newest, _ = s.Newest(at(KnownVersionLifetime))
	c.Check(newest, qt.Equals, uint64(4))
	s.RecordVersionNotice(4, at(2*KnownVersionLifetime-1), at(2*KnownVersionLifetime-1))
	c.Check(s.IsBehind(at(2*KnownVersionLifetime)), qt.IsTrue)
	set := Default()
	set.Version = 4
	_, err := s.OfferSet(set, SourcePlatform)
	c.Assert(err, qt.IsNil)
	c.Check(s.IsBehind(at(2*KnownVersionLifetime)), qt.IsFalse)
}
