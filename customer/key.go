package customer

import "net/http"

// Key identifies a caller by the API key that it sent. It stores only the digest, not
// the secret. The zero Key stands for a caller that sent none.
type Key struct {
	digest Digest
	sent   bool
	valid  bool
}

// ReadKey reads an API key from a header. An empty value, or more than one value,
// matches no customer.
func ReadKey(h http.Header, name string) Key {
	values := h[name]
	if len(values) != 1 || values[0] == "" {
		return Key{sent: len(values) > 0}
	}
	return Key{digest: DigestOf(values[0]), sent: true, valid: true}
}

// Sent reports whether the caller sent the header at all.
func (k Key) Sent() bool { return k.sent }

// ByKey returns the customer of a key, nil if there is none.
func (d *Directory) ByKey(k Key) *Customer {
	if !k.valid {
		return nil
	}
	return d.byKey[k.digest]
}
