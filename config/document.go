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

// The platform stores the configuration in a single object of this kind and name.
const (
	ObjectKind = "pollengauge-config"
	ObjectName = "current"
)

const (
	// MaxChanges is the number of changes that a Document records.
	MaxChanges = 64
	// MaxHistory is the number of earlier Sets that a Document stores for Rollback.
	MaxHistory = 16
)

// Change is the record of one accepted change.
type Change struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"changeId"`
	Author   string    `json:"author,omitempty"`
	Comment  string    `json:"comment,omitempty"`
	At       time.Time `json:"at,omitzero"`
	// Content is the ContentHash of the Set.
	Content string `json:"content"`
}

// Document is the value of the platform's object: the current Set, the changes that
// led to it, and earlier Sets.
//
// One conditional update writes all three. With separate history objects, a crash
// between two writes could leave a history entry that was never active, or an
// active version that is missing from the history.
type Document struct {
	Set Set `json:"set"`
	// Changes lists up to MaxChanges changes, oldest first; the last one made Set.
	Changes []Change `json:"changes"`
	// Earlier lists up to MaxHistory earlier Sets, oldest first. It has fewer if
	// the object would otherwise exceed the size limit of the platform.
	Earlier []EarlierSet `json:"earlier,omitempty"`
}

// EarlierSet is a Set that a later version has replaced.
type EarlierSet struct {
	Version uint64 `json:"version"`
	// Gzip is the canonical encoding of the Set, compressed with gzip.
	Gzip []byte `json:"gzip"`
}

// Read returns the stored Document, or one with the embedded default and no changes
// if nothing has been applied yet. It returns the errors of the platform, and an
// *EncodingError or *ValidationError if the stored value is not usable.
func Read(ctx context.Context, store objects.Store) (Document, error) {
	document, _, err := load(ctx, store)
	return document, err
}

// load returns the stored Document and its object, which has version 0 if it does
// not exist.
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

// DecodeDocument decodes the value of the object and validates the Set in it.
//
// It rejects a Set with unknown fields. Otherwise an older build would silently
// drop a field that a newer build stored: its nodes would have other content under
// the same version, which newer nodes report as a fork, and its `get` followed by
// `apply` would delete the field for everyone. The older build keeps its last Set
// instead, as it does for a Set from a peer. Unknown fields outside the Set are
// ignored.
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
	if err := checkKnownFields(stored.Set); err != nil {
		return Document{}, &EncodingError{Want: "a set with the fields of this build", Cause: err}
	}
	if err := validateForNode(d.Set); err != nil {
		return Document{}, err
	}
	return d, nil
}

// StoredVersion reads only the version from the value of the object. It works even
// if a newer build wrote a Set that this build rejects. ok is false if value has no
// readable version.
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

func checkKnownFields(set []byte) error {
	if len(set) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(set))
	decoder.DisallowUnknownFields()
	return decoder.Decode(new(Set))
}

// Lookup returns the Set of the given version, or a *NoVersionError if it is not
// stored.
func (d Document) Lookup(version uint64) (Set, error) {
	if version == d.Set.Version {
		return d.Set, nil
	}
	var stored []uint64
	for _, earlier := range d.Earlier {
		if earlier.Version == version {
			return earlier.unpack()
		}
		stored = append(stored, earlier.Version)
	}
	return Set{}, &NoVersionError{Version: version, Stored: append(stored, d.Set.Version)}
}

// findChange returns the recorded change with the given id.
func (d Document) findChange(id string) (Change, bool) {
	i := slices.IndexFunc(d.Changes, func(c Change) bool { return c.ChangeID == id })
	if i < 0 {
		return Change{}, false
	}
	return d.Changes[i], true
}

// recordsAllAfter reports whether Changes includes every change made after version.
func (d Document) recordsAllAfter(version uint64) bool {
	return len(d.Changes) < MaxChanges || d.Changes[0].Version <= version+1
}

// withNextSet returns the Document that results from replacing d.Set with next, and
// its encoding.
func (d Document) withNextSet(next Set, content string) (Document, []byte, error) {
	after := Document{Set: next}
	after.Changes = append(slices.Clone(d.Changes), Change{
		Version:  next.Version,
		ChangeID: next.ChangeID,
		Author:   next.Author,
		Comment:  next.Comment,
		At:       next.At,
		Content:  content,
	})
	after.Changes = lastN(after.Changes, MaxChanges)
	packed, err := pack(d.Set)
	if err != nil {
		return Document{}, nil, err
	}
	after.Earlier = lastN(append(slices.Clone(d.Earlier), packed), MaxHistory)
	return after.trimToFit()
}

// trimToFit drops the oldest of the earlier Sets until the encoded Document fits
// into one object. The Set and the changes alone always fit: MaxEncoded plus 64
// change records are below the limit.
func (d Document) trimToFit() (Document, []byte, error) {
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

func lastN[T any](list []T, n int) []T { return list[max(0, len(list)-n):] }

func pack(s Set) (EarlierSet, error) {
	data, err := Encode(s)
	if err != nil {
		return EarlierSet{}, err
	}
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(data); err != nil {
		return EarlierSet{}, &EncodingError{Want: "a set that gzip can compress", Cause: err}
	}
	if err := writer.Close(); err != nil {
		return EarlierSet{}, &EncodingError{Want: "a set that gzip can compress", Cause: err}
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
		// A rollback must not restore a Set of another version than the operator
		// asked for.
		return Set{}, &EncodingError{Want: "a history entry whose set has the version of the entry"}
	}
	return s, nil
}
