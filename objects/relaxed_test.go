package objects_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// Guards against a relaxed read that the platform bills as an exact one, and against an
// exact read that returns old data.
func TestOnlyRelaxedReadsMayBeOld(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, objects.Options{})
	written, err := client.Create(background, "kind", "name", []byte("old"))
	c.Assert(err, qt.IsNil)
	server.SetFaults(standin.Faults{StaleMillis: 3_600_000})
	_, err = client.GetRelaxed(background, "kind", "name")
	c.Check(err, qt.ErrorAs, new(*objects.NotFoundError))
	found, err := client.ListRelaxed(background, "kind", "")
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.HasLen, 0)
	exact, err := client.Get(background, "kind", "name")
	c.Assert(err, qt.IsNil)
	c.Check(exact, qt.DeepEquals, written)
	server.SetFaults(standin.Faults{})
	found, err = client.ListRelaxed(background, "kind", "")
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.DeepEquals, []objects.Object{written})
	c.Check(server.Stats().Relaxed, qt.Equals, uint64(3))
	c.Check(client.Stats().Relaxed, qt.Equals, uint64(3))
	c.Check(client.Stats().Reads, qt.Equals, uint64(4))
}
