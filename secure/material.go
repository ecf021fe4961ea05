package secure

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/pem"
	"os"
	"slices"
	"strings"
	"time"
)

// Config configures a Source.
type Config struct {
	// Cert is this process's certificate, followed by intermediate ones. Key is its
	// private key. CA is the certificates of one or more trusted authorities. Each
	// is PEM text, or the path of a file that contains it. Files are read again while
	// the process runs. PEM text is fixed until the process ends, so a key rotation
	// then requires a restart.
	Cert, Key, CA string
	// Name is a DNS name or URI that the certificate of every peer must contain, in
	// addition to the signature of an authority. Set it if the authority also signs
	// certificates for other processes. If it is empty, no name is required.
	Name string
	// PollInterval is the interval at which the files are checked for changes, 1 s to
	// 1 h. A longer interval costs less and delays a key rotation. Zero means 5 s.
	PollInterval time.Duration
	// ReadFile replaces os.ReadFile in tests.
	ReadFile func(path string) ([]byte, error)
	// Notify receives changes and rejections. Its fields may be nil.
	Notify Notify
}

// Notify holds functions that are called on events. They may be called concurrently and
// must return quickly.
type Notify struct {
	// Changed is called when a new certificate or set of authorities comes into use.
	Changed func(Info)
	// Refused is called when a new certificate or set of authorities can't be used and
	// the last usable one stays in use. It is called once for each distinct content.
	Refused func(error)
	// PeerRefused is called when the other end of an inbound connection did not
	// authenticate itself as a peer.
	PeerRefused func(error)
}

// Info describes the certificate in use and the number of trusted authorities. It
// contains no secrets.
type Info struct {
	Subject     string
	Serial      string
	NotAfter    time.Time
	Authorities int
}

const (
	defaultPollInterval = 5 * time.Second
	minPollInterval     = time.Second
	maxPollInterval     = time.Hour
	// maxMaterialBytes is the largest size of one file or PEM text, in bytes.
	maxMaterialBytes = 1 << 20
	pemPrefix        = "-----BEGIN "
)

func (c Config) withDefaults() (Config, error) {
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.PollInterval < minPollInterval || c.PollInterval > maxPollInterval {
		return c, &MaterialError{Part: "poll", Want: "1s to 1h"}
	}
	if c.ReadFile == nil {
		c.ReadFile = os.ReadFile
	}
	return c, nil
}

// material is the PEM text of certificate, key and authorities as read at one time.
type material struct{ cert, key, ca []byte }

func (m material) equal(o material) bool {
	return bytes.Equal(m.cert, o.cert) && bytes.Equal(m.key, o.key) && bytes.Equal(m.ca, o.ca)
}

// digest returns a hash that identifies the material without storing its key.
func (m material) digest() string {
	hash := sha256.New()
	for _, part := range [][]byte{m.cert, m.key, m.ca} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	return string(hash.Sum(nil))
}

func (c *Config) read() (material, error) {
	var m material
	var err error
	if m.cert, err = c.readPart("cert", c.Cert); err != nil {
		return m, err
	}
	if m.key, err = c.readPart("key", c.Key); err != nil {
		return m, err
	}
	m.ca, err = c.readPart("ca", c.CA)
	return m, err
}

func (c *Config) readPart(name, value string) ([]byte, error) {
	want := "PEM text or the path of a PEM file"
	if value == "" {
		return nil, &MaterialError{Part: name, Want: want}
	}
	data := []byte(value)
	if !strings.Contains(value, pemPrefix) {
		var err error
		if data, err = c.ReadFile(value); err != nil {
			return nil, &MaterialError{Part: name, Want: want, Cause: err}
		}
	}
	if len(data) > maxMaterialBytes {
		return nil, &MaterialError{Part: name, Want: "at most 1 MiB"}
	}
	return data, nil
}

// bundle is valid material in parsed form, ready for handshakes.
type bundle struct {
	material material
	info     Info
	cert     tls.Certificate
	roots    *x509.CertPool
}

// parse parses and validates m: the key must belong to the certificate, and peers with
// the same settings must accept the certificate.
//
// The check protects against a change that is half complete: the certificate file is
// new and the key file still old, or the certificate's authority is not trusted yet.
// With such material, all further connections of this process would fail. Rejecting it
// keeps the last usable material in use, and a later poll applies the change when it is
// complete.
func (m material) parse(name string, now time.Time) (*bundle, error) {
	cert, err := tls.X509KeyPair(m.cert, m.key)
	if err != nil {
		return nil, &MaterialError{Part: "cert", Want: "a certificate with its key", Cause: err}
	}
	roots, count, err := authorities(m.ca)
	if err != nil {
		return nil, err
	}
	b := &bundle{material: m, cert: cert, roots: roots}
	chain, err := parseChain(cert.Certificate)
	if err != nil {
		return nil, &MaterialError{Part: "cert", Want: "X.509 certificates", Cause: err}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := b.verify(chain, name, usage, now); err != nil {
			return nil, &MaterialError{Part: "cert", Want: "a certificate signed by a trusted authority for server and client", Cause: err}
		}
	}
	leaf := chain[0]
	b.info = Info{Subject: leaf.Subject.String(), Serial: leaf.SerialNumber.String(), NotAfter: leaf.NotAfter, Authorities: count}
	return b, nil
}

func parseChain(raw [][]byte) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, len(raw))
	for i, der := range raw {
		cert, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, err
		}
		chain[i] = cert
	}
	return chain, nil
}

// authorities parses all certificates in text and returns them with their number. If one
// of them can't be parsed, it returns an error, so that a truncated file can't remove an
// authority.
func authorities(text []byte) (*x509.CertPool, int, error) {
	pool := x509.NewCertPool()
	count := 0
	for {
		var block *pem.Block
		block, text = pem.Decode(text)
		if block == nil {
			break
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil || !cert.IsCA {
			return nil, 0, &MaterialError{Part: "ca", Want: "certificates of certificate authorities", Cause: err}
		}
		pool.AddCert(cert)
		count++
	}
	if count == 0 || bytes.Contains(text, []byte(pemPrefix)) {
		return nil, 0, &MaterialError{Part: "ca", Want: "complete PEM certificates of certificate authorities"}
	}
	return pool, count, nil
}

// verify checks a certificate chain against the trusted authorities and the required
// name, which may be empty.
func (b *bundle) verify(chain []*x509.Certificate, name string, usage x509.ExtKeyUsage, now time.Time) error {
	if len(chain) == 0 {
		return &CertificateError{}
	}
	options := x509.VerifyOptions{
		Roots:         b.roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
		CurrentTime:   now,
	}
	for _, cert := range chain[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return err
	}
	if name != "" && !hasName(chain[0], name) {
		return &NameError{Want: name}
	}
	return nil
}

// hasName reports whether cert contains name as a DNS name or URI. It compares complete
// names: a wildcard in a certificate has no meaning between peers and matches only
// itself.
func hasName(cert *x509.Certificate, name string) bool {
	if slices.Contains(cert.DNSNames, name) {
		return true
	}
	for _, uri := range cert.URIs {
		if uri.String() == name {
			return true
		}
	}
	return false
}
