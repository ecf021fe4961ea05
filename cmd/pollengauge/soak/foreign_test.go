package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"

	"pollengauge.dev/platform/store"
)

// entry is an object that another program has written to the store.
type entry struct {
	kind, name string
	// wrote and found are the specification as written and as read at the end,
	// as JSON.
	wrote, found string
}

// foreignKinds are kinds that the nodes read too, and "inventory", which they
// don't. The object names are the other program's own.
var foreignKinds = []string{configKind, "pollengauge-bootstrap", "pollengauge-claim", "inventory"}

// foreignValues are specifications that the other program may write under any kind.
var foreignValues = []string{
	`{}`, `[1,2]`, `7`, `"10.0.0.1"`, `{"address":7}`, `{"pollengauge_value":5}`, `{"pollengauge_value":"AA=="}`,
	`{"version":"r999999","routes":[]}`, `{"routes":"none"}`,
}

// writeForeign creates an entry of each kind. An entry is not checked later if its
// creation was not acknowledged.
func (f *fleet) writeForeign(ctx context.Context) {
	for _, kind := range foreignKinds {
		e := entry{kind: kind, name: "other-" + newID(), wrote: foreignValues[rand.IntN(len(foreignValues))]}
		if err := f.createEntry(ctx, e); err == nil {
			add(f.record, &f.record.entries, e)
		}
	}
}

// storeError is a response of the store with a failure status.
type storeError struct{ status int }

func (e storeError) Error() string { return fmt.Sprintf("store responded with status %d", e.status) }

// createEntry writes over plain HTTP as another program does, not with the
// project's client.
func (f *fleet) createEntry(ctx context.Context, e entry) error {
	object := store.Object{Specification: json.RawMessage(e.wrote)}
	object.Metadata.Name = e.name
	body, err := json.Marshal(object)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.storeAddr+store.ObjectsPath+e.kind, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return storeError{resp.StatusCode}
	}
	return nil
}

// readForeign reads all entries of the other program again.
func (f *fleet) readForeign(ctx context.Context) {
	f.record.mu.Lock()
	entries := slices.Clone(f.record.entries)
	f.record.mu.Unlock()
	for i := range entries {
		f.check(await(ctx, func() bool { return f.readEntry(ctx, &entries[i]) == nil }))
	}
	f.record.mu.Lock()
	f.record.entries = entries
	f.record.mu.Unlock()
}

// readEntry reads an entry's specification into found, and leaves found empty if
// the entry no longer exists.
func (f *fleet) readEntry(ctx context.Context, e *entry) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.storeAddr+store.ObjectsPath+e.kind+"/"+e.name, nil)
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotFound:
		return nil
	case http.StatusOK:
		var object store.Object
		err = json.NewDecoder(resp.Body).Decode(&object)
		e.found = string(object.Specification)
		return err
	}
	return storeError{resp.StatusCode}
}

// foreignEntriesStay checks that the nodes neither change nor delete another
// program's entries in the store.
func (j *judgement) foreignEntriesStay() {
	for _, e := range j.entries {
		if !sameJSON(e.wrote, e.found) {
			j.add("foreign", "%s/%s was %s and is %q", e.kind, e.name, e.wrote, e.found)
		}
	}
}

func sameJSON(a, b string) bool {
	var x, y any
	if json.Unmarshal([]byte(a), &x) != nil || json.Unmarshal([]byte(b), &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
