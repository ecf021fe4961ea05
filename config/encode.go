package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"go.yaml.in/yaml/v3"
)

const (
	// MaxEncoded is the largest Set that operators may submit, encoded, in bytes.
	// With its history it travels in one object of the platform.
	MaxEncoded = 512 << 10
	// MaxHeld is the largest encoding that a node takes and passes on, in bytes.
	// It protects a node's memory from a peer that sends without end, and is many
	// times what a platform holds in one object.
	MaxHeld = 16 << 20
)

// Encode checks that s can be put in force and returns its canonical encoding:
// equal Sets give equal bytes, and Decode takes nothing else.
func Encode(s Set) ([]byte, error) {
	if err := usable(s); err != nil {
		return nil, err
	}
	data, err := marshal(s)
	if err == nil && len(data) > MaxHeld {
		return nil, &EncodingError{Want: wantHeld}
	}
	return data, err
}

const wantHeld = "at most 16 MiB"

func marshal(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, &EncodingError{Want: "a value that JSON can hold", Cause: err}
	}
	return data, nil
}

// Decode reads a canonical encoding and validates the Set in it.
//
// Failure: encoding/json lets unknown fields, repeated fields and odd letter
// case pass, so two nodes of different builds could read one text as two
// Sets. Symptom: one version, two behaviours. Requiring that the Set encodes
// to the very same bytes leaves one reading.
func Decode(data []byte) (Set, error) {
	if len(data) > MaxHeld {
		return Set{}, &EncodingError{Want: wantHeld}
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

// ContentHash identifies what s decides, without version, author and time.
func (s Set) ContentHash() (string, error) {
	content := Set{Profiles: s.Profiles, Assignments: s.Assignments, Routes: s.Routes, Customers: s.Customers, Limits: s.Limits}
	data, err := marshal(content)
	if err != nil {
		return "", err
	}
	return Hash(data), nil
}

const yamlIndent = 2

// YAML returns s in the form that operators edit. Parse reads it back.
func (s Set) YAML() ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(s); err != nil {
		return nil, &EncodingError{Want: "a value that YAML can hold", Cause: err}
	}
	return out.Bytes(), nil
}
