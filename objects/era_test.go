package objects_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
	"pollengauge.dev/standin"
)

// Guards against an update that replaces another object's write: a restored store gives out
// the expected version again.
func TestUpdateExpectsAVersionOfItsOwnEra(t *testing.T) {
	for _, known := range []bool{true, false} {
		c := qt.New(t)
		server, client := startStandin(c, objects.Options{})
		mine, err := client.Create(background, "kind", "name", []byte("mine"))
		c.Assert(err, qt.IsNil)
		server.SetFaults(standin.Faults{RestoreMillis: 3_600_000})
		other, err := server.Create(background, "kind", "name", []byte("other"))
		c.Assert(err, qt.IsNil)
		c.Assert(other.Version, qt.Equals, mine.Version)
		if known {
			_, err = client.Get(background, "kind", "name")
			c.Assert(err, qt.IsNil)
		}
		mine.Value = []byte("changed")
		_, err = client.Update(background, mine)
		if known {
			conflict := (*objects.ConflictError)(nil)
			c.Assert(err, qt.ErrorAs, &conflict)
			c.Check(string(conflict.Current.Value), qt.Equals, "other")
			continue
		}
		c.Check(err, qt.ErrorAs, new(*objects.AmbiguousError), qt.Commentf("the store could not know of the era"))
	}
}

// Guards against a response from before a restore that comes after one from behind it: what
// it states may be gone.
func TestLateResponsesOfAnEarlierEraAreRejected(t *testing.T) {
	c := qt.New(t)
	eras := []string{"4", "3", "x", "", "7"}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if eras[0] != "" {
			w.Header().Set(store.HeaderEra, eras[0])
		}
		eras = eras[1:]
		_, _ = w.Write([]byte(`{"metadata":{"name":"name","revision":5},"specification":{}}`))
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	client, err := store.New(objects.Options{Endpoint: server.URL})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	read := func() error {
		_, err := client.Get(background, "kind", "name")
		return err
	}
	c.Check(read(), qt.IsNil)
	c.Check(read(), qt.ErrorAs, new(*objects.EraError))
	c.Check(read(), qt.IsNil, qt.Commentf("an era that can't be read"))
	c.Check(read(), qt.IsNil, qt.Commentf("no era"))
	c.Check(client.Era(), qt.Equals, uint64(4))
	c.Check(read(), qt.IsNil, qt.Commentf("a later era, one left out"))
	c.Check(client.Era(), qt.Equals, uint64(7))
	eras = []string{"6"}
	_, err = client.Create(background, "kind", "name", nil)
	c.Check(err, qt.ErrorAs, new(*objects.AmbiguousError))
}

// Guards against a client that rejects the store for ever after one wrong header.
func TestWrongEraIsCorrected(t *testing.T) {
	c := qt.New(t)
	era := "900000"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(store.HeaderEra, era)
		_, _ = w.Write([]byte(`{"metadata":{"name":"name","revision":5},"specification":{}}`))
	}))
	defer server.Close()
	client, err := store.New(objects.Options{Endpoint: server.URL, ReadRate: 1000, Burst: 1000})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	_, err = client.Get(background, "kind", "name")
	c.Assert(err, qt.IsNil)
	era = "3"
	failed := 0
	for range 40 {
		if _, err := client.Get(background, "kind", "name"); err != nil {
			failed++
		}
	}
	c.Check(failed, qt.Equals, 16)
	c.Check(client.Era(), qt.Equals, uint64(3))
}
