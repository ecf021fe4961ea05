// Package securetest creates certificate authorities and certificates in memory for
// tests.
package securetest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"
)

// Authority is a certificate authority that exists only in the test.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

// Leaf is a leaf certificate and its private key, as PEM text.
type Leaf struct{ Cert, Key string }

// Options configure one leaf certificate. The zero value gives a certificate that is
// valid for an hour, for server and client.
type Options struct {
	// Names are DNS names.
	Names []string
	// From is the start of the validity, relative to now, and Lifetime is its length.
	From, Lifetime time.Duration
	// ServerOnly omits the key usage for clients.
	ServerOnly bool
}

const defaultValidity = time.Hour

// must panics on an error, so that the functions of this package return none: creating
// a key in memory fails only if the machine has no source of random numbers.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func newSerial() *big.Int { return must(rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 64))) }

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// NewAuthority creates an authority with the common name name. Its certificate is valid
// for a day.
func NewAuthority(name string) *Authority {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-defaultValidity),
		NotAfter:              time.Now().Add(24 * defaultValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key))
	return &Authority{cert: must(x509.ParseCertificate(der)), key: key, pem: encodePEM("CERTIFICATE", der)}
}

// PEM returns the authority's certificate as PEM text.
func (a *Authority) PEM() string { return a.pem }

// Issue creates a leaf certificate with the common name name, signed by the authority.
func (a *Authority) Issue(name string, o Options) Leaf {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	if o.Lifetime == 0 {
		o.Lifetime = defaultValidity
	}
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(o.From - time.Minute),
		NotAfter:     time.Now().Add(o.From + o.Lifetime),
		DNSNames:     o.Names,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if !o.ServerOnly {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageClientAuth)
	}
	der := must(x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key))
	keyDER := must(x509.MarshalPKCS8PrivateKey(key))
	return Leaf{Cert: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER)}
}
