package config

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
)

// FAILS. Operators store a version of a newer build, which this one refuses. The
// project's own watch path does not note that the version exists, so a node tells
// neither callers (404, not 503) nor operators (event 2005) that it is behind.
func TestReviewRefusedDocumentIsHeardOf(t *testing.T) {
	c := qt.New(t)
	s := NewStore()
	_, err := s.OfferObject(objects.Object{Kind: ObjectKind, Name: ObjectName, Value: []byte(`{"set":{"version":7,"fieldOfANewerBuild":1}}`)})
	c.Assert(err, qt.IsNotNil)
	c.Check(s.Newest() >= 1, qt.IsTrue)
	c.Check(s.Behind(), qt.IsTrue)
}
