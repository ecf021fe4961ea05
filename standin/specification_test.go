package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
)

// Another program stores its own entries in the platform's store, in its own JSON
// format. It must read back exactly the JSON that it wrote, because the store does
// not know the format in which this project wraps its values.
func TestEntriesOfOtherWritersAreUnchanged(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	for i, specification := range []string{
		`{}`, `[1,2]`, `7`, `"text"`, `{"a":"<&>"}`, `{"pollengauge_value":5}`, `{"pollengauge_value":"AA=="}`, `{ "spaced" : [ 1 ] }`,
	} {
		name := string(rune('a' + i))
		body := []byte(`{"metadata":{"name":"` + name + `"},"specification":` + specification + `}`)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, store.ObjectsPath+"inventory", bytes.NewReader(body)))
		c.Assert(w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
		w = httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, store.ObjectsPath+"inventory/"+name, nil))
		var got store.Object
		c.Assert(json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
		c.Check(string(got.Specification), qt.JSONEquals, json.RawMessage(specification))
	}
}

// This project's values must be read back byte for byte, even if they are JSON
// themselves.
func TestOwnValuesAreReadByteForByte(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{"", "\x00\xff", "null", `{"a":1}`, `{ "a" : "<" }`, `{"pollengauge_value":"AA=="}`} {
		o, err := toWire(testObject(value))
		c.Assert(err, qt.IsNil)
		wire, err := json.Marshal(o)
		c.Assert(err, qt.IsNil)
		var back store.Object
		c.Assert(json.Unmarshal(wire, &back), qt.IsNil)
		c.Check(string(store.Unwrap(back.Specification)), qt.Equals, value)
	}
}

func testObject(value string) objects.Object {
	return objects.Object{Kind: "inventory", Name: "one", Value: []byte(value)}
}
