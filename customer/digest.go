package customer

import (
	"crypto/sha256"
	"encoding/hex"
)

// DigestSize is the length of a Digest in bytes. Finding another key with the digest of
// a given key takes about 2^128 attempts.
const DigestSize = 16

// Digest identifies an API key: the first bytes of its SHA-256 hash. Its text form is
// hexadecimal.
//
// The time that the lookup of a Digest takes reveals nothing about the stored keys,
// because an attacker who tries keys can't choose their digests.
type Digest [DigestSize]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:DigestSize])
}

// String returns the hexadecimal form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a *DigestError.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(DigestSize) {
		return &DigestError{Length: len(text)}
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return &DigestError{Length: len(text)}
		}
	}
	_, err := hex.Decode(d[:], text)
	return err
}
