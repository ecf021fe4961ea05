package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"go.yaml.in/yaml/v3"
)

const (
	// MaxEncoded is the maximum size of an encoded Set that operators may submit,
	// in bytes. A Set is stored in one object of the platform together with its
	// history.
	MaxEncoded = 512 << 10
	// MaxNodeEncoded is the maximum size of an encoded Set that a node accepts and
	// forwards, in bytes. It protects the memory of a node from a peer that sends
	// without end, and is many times the size of an object on the platform.
	MaxNodeEncoded = 16 << 20
)

// Encode checks that a node can use s and returns its canonical encoding: equal
// Sets have equal encodings, and Decode accepts no other bytes.
func Encode(s Set) ([]byte, error) {
	if err := validateForNode(s); err != nil {
		return nil, err
	}
	data, err := marshal(s)
	if err == nil && len(data) > MaxNodeEncoded {
		return nil, &EncodingError{Want: wantMaxSize}
	}
	return data, err
}

const wantMaxSize = "at most 16 MiB"

func marshal(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, &EncodingError{Want: "a value that JSON can hold", Cause: err}
	}
	return data, nil
}

// Decode decodes a canonical encoding and validates the Set in it.
//
// encoding/json accepts unknown fields, repeated fields and field names in other
// letter case, so nodes of different builds could decode the same bytes to
// different Sets and behave differently under one version. Decode therefore
// requires that the decoded Set encodes to exactly the same bytes.
func Decode(data []byte) (Set, error) {
	if len(data) > MaxNodeEncoded {
		return Set{}, &EncodingError{Want: wantMaxSize}
	}
	var s Set
	if err := json.Unmarshal(data, &s); err != nil {
		return Set{}, &EncodingError{Want: "a set in JSON", Cause: err}
	}
	again, err := Encode(s)
	if err != nil {
		return Set{}, err
	}
	if !bytes.Equal(again, data) {
		return Set{}, &EncodingError{Want: "the canonical encoding"}
	}
	return s, nil
}

// Hash returns the SHA-256 of an encoded Set in hex, as shown to operators.
func Hash(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// ContentHash returns the hash of the profiles, assignments, routes, customers and
// limits of s. It ignores the version, change id, author, comment and time.
func (s Set) ContentHash() (string, error) {
	content := Set{Profiles: s.Profiles, Assignments: s.Assignments, Routes: s.Routes, Customers: s.Customers, Limits: s.Limits}
	data, err := marshal(content)
	if err != nil {
		return "", err
	}
	return Hash(data), nil
}

const yamlIndent = 2

// YAML returns s in the format that operators edit. Parse accepts it.
func (s Set) YAML() ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(s); err != nil {
		return nil, &EncodingError{Want: "a value that YAML can hold", Cause: err}
	}
	return out.Bytes(), nil
}
