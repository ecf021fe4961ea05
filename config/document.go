package config

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"time"

	"pollengauge.dev/objects"
)

// The one object in which the platform holds the configuration.
const (
	ObjectKind = "pollengauge-config"
	ObjectName = "current"
)

const (
	// MaxChanges is how many changes an object remembers by id.
	MaxChanges = 64
	// MaxHistory is how many earlier Sets an object keeps for Rollback.
	MaxHistory = 16
)

// Change records one accepted change.
type Change struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"changeId"`
	Author   string    `json:"author,omitempty"`
	Comment  string    `json:"comment,omitempty"`
	At       time.Time `json:"at,omitzero"`
	// Content is the ContentHash of the Set.
	Content string `json:"content"`
}

// Document is the value of the object: the Set in force, the changes that
// led to it, and the Sets before it.
//
// All three move in one conditional update. Separate history objects would
// leave crash points between the writes, with a history entry that was never
// in force or a version in force that is missing from the history.
type Document struct {
	Set Set `json:"set"`
	// Changes ends with the change that made Set; at most MaxChanges.
	Changes []Change `json:"changes"`
	// Earlier ends with the Set before; at most MaxHistory, fewer if the
	// object would grow too large.
	Earlier []EarlierSet `json:"earlier,omitempty"`
}

// EarlierSet is a Set that is no longer in force.
type EarlierSet struct {
	Version uint64 `json:"version"`
	// Gzip is the compressed encoding.
	Gzip []byte `json:"gzip"`
}

// Read returns the stored Document. Before the first Apply that is the
// embedded default without changes. Errors are those of the platform, or an
// *EncodingError or *ValidationError if the stored value can't be used.
func Read(ctx context.Context, store objects.Store) (Document, error) {
	document, _, err := load(ctx, store)
	return document, err
}

// load also returns the object, of version 0 if there is none.
func load(ctx context.Context, store objects.Store) (Document, objects.Object, error) {
	object, err := store.Get(ctx, ObjectKind, ObjectName)
	if missing := (*objects.NotFoundError)(nil); errors.As(err, &missing) {
		return Document{Set: Default()}, objects.Object{Kind: ObjectKind, Name: ObjectName}, nil
	}
	if err != nil {
		return Document{}, objects.Object{}, err
	}
	document, err := DecodeDocument(object.Value)
	return document, object, err
}

// DecodeDocument reads the object's value and validates the Set in it.
//
// The failure: a set with a field of a newer build is stored, and an older one
// drops the field. Its nodes have the version in force with other content,
// which the newer nodes take for a fork, and its `get` and `apply` lose the
// field for all. The older build refuses the set and keeps the last one, as it
// does with a set that a peer passes on. Around the Set, unknown fields pass.
func DecodeDocument(value []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return Document{}, &EncodingError{Want: "a document in JSON", Cause: err}
	}
	var stored struct {
		Set json.RawMessage `json:"set"`
	}
	if err := json.Unmarshal(value, &stored); err != nil {
		return Document{}, &EncodingError{Want: "a document in JSON", Cause: err}
	}
	if err := onlyKnownFields(stored.Set); err != nil {
		return Document{}, &EncodingError{Want: "a set with the fields of this build", Cause: err}
	}
	if err := usable(d.Set); err != nil {
		return Document{}, err
	}
	return d, nil
}

// StoredVersion reads the version alone of the object's value, also where a newer
// build wrote what this one can't use.
func StoredVersion(value []byte) (version uint64, ok bool) {
	var d struct {
		Set struct {
			Version *uint64 `json:"version"`
		} `json:"set"`
	}
	if err := json.Unmarshal(value, &d); err != nil || d.Set.Version == nil {
		return 0, false
	}
	return *d.Set.Version, true
}

func onlyKnownFields(set []byte) error {
	if len(set) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(set))
	decoder.DisallowUnknownFields()
	return decoder.Decode(new(Set))
}

// At returns the Set of that version, or a *NoVersionError.
func (d Document) At(version uint64) (Set, error) {
	if version == d.Set.Version {
		return d.Set, nil
	}
	var kept []uint64
	for _, earlier := range d.Earlier {
		if earlier.Version == version {
			return earlier.unpack()
		}
		kept = append(kept, earlier.Version)
	}
	return Set{}, &NoVersionError{Version: version, Kept: append(kept, d.Set.Version)}
}

// change returns the recorded change of that id.
func (d Document) change(id string) (Change, bool) {
	i := slices.IndexFunc(d.Changes, func(c Change) bool { return c.ChangeID == id })
	if i < 0 {
		return Change{}, false
	}
	return d.Changes[i], true
}

// recordsAfter reports whether Changes holds every change after version.
func (d Document) recordsAfter(version uint64) bool {
	return len(d.Changes) < MaxChanges || d.Changes[0].Version <= version+1
}

// followedBy returns the Document after the change to next, and its encoding.
func (d Document) followedBy(next Set, content string) (Document, []byte, error) {
	after := Document{Set: next}
	after.Changes = append(slices.Clone(d.Changes), Change{
		Version:  next.Version,
		ChangeID: next.ChangeID,
		Author:   next.Author,
		Comment:  next.Comment,
		At:       next.At,
		Content:  content,
	})
	after.Changes = last(after.Changes, MaxChanges)
	packed, err := pack(d.Set)
	if err != nil {
		return Document{}, nil, err
	}
	after.Earlier = last(append(slices.Clone(d.Earlier), packed), MaxHistory)
	return after.fit()
}

// fit drops the oldest Sets until the value fits into one object. Set and
// changes alone always fit: MaxEncoded and 64 records are below the limit.
func (d Document) fit() (Document, []byte, error) {
	for {
		value, err := marshal(d)
		if err != nil {
			return Document{}, nil, err
		}
		if len(value) <= objects.MaxValue || len(d.Earlier) == 0 {
			return d, value, nil
		}
		d.Earlier = d.Earlier[1:]
	}
}

func last[T any](list []T, n int) []T { return list[max(0, len(list)-n):] }

func pack(s Set) (EarlierSet, error) {
	data, err := Encode(s)
	if err != nil {
		return EarlierSet{}, err
	}
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(data); err != nil {
		return EarlierSet{}, &EncodingError{Want: "bytes that gzip takes", Cause: err}
	}
	if err := writer.Close(); err != nil {
		return EarlierSet{}, &EncodingError{Want: "bytes that gzip takes", Cause: err}
	}
	return EarlierSet{Version: s.Version, Gzip: out.Bytes()}, nil
}

func (e EarlierSet) unpack() (Set, error) {
	reader, err := gzip.NewReader(bytes.NewReader(e.Gzip))
	if err != nil {
		return Set{}, &EncodingError{Want: "an earlier set in gzip", Cause: err}
	}
	data, err := io.ReadAll(io.LimitReader(reader, MaxEncoded+1))
	if err != nil {
		return Set{}, &EncodingError{Want: "an earlier set in gzip", Cause: err}
	}
	s, err := Decode(data)
	if err != nil {
		return Set{}, err
	}
	if s.Version != e.Version {
		// An operator who goes back to one version must not get another.
		return Set{}, &EncodingError{Want: "the set of the version that names it"}
	}
	return s, nil
}
