package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Source holds the certificate and the trusted authorities in use, and reloads them.
type Source struct {
	cfg     Config
	current atomic.Pointer[bundle]

	// mu is held while new material is read and validated.
	mu sync.Mutex
	// lastFailure identifies the last failure, so that it is reported only once: the digest
	// of the unusable material, or the text of the error of reading it.
	lastFailure string
}

// NewSource reads the certificate, the key and the authorities. If they can't be used,
// it returns a *MaterialError, so that a process does not start without a key that its
// peers accept.
func NewSource(cfg Config) (*Source, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Source{cfg: cfg}
	m, err := cfg.read()
	if err != nil {
		return nil, err
	}
	b, err := m.parse(cfg.Name, time.Now())
	if err != nil {
		return nil, err
	}
	s.current.Store(b)
	return s, nil
}

// Info returns a description of the certificate in use.
func (s *Source) Info() Info { return s.current.Load().info }

// Reload reads the certificate, the key and the authorities again. It applies them and
// returns true if they are usable and have changed.
func (s *Source) Reload() (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := s.cfg.read()
	if err != nil {
		s.reportFailure(err.Error(), err)
		return false, err
	}
	if m.equal(s.current.Load().material) {
		s.lastFailure = ""
		return false, nil
	}
	b, err := m.parse(s.cfg.Name, time.Now())
	if err != nil {
		s.reportFailure(m.digest(), err)
		return false, err
	}
	s.lastFailure = ""
	s.current.Store(b)
	if s.cfg.Notify.Changed != nil {
		s.cfg.Notify.Changed(b.info)
	}
	return true, nil
}

// reportFailure reports err to Notify once, not at each poll. failure identifies the error.
func (s *Source) reportFailure(failure string, err error) {
	if failure == s.lastFailure {
		return
	}
	s.lastFailure = failure
	if s.cfg.Notify.Refused != nil {
		s.cfg.Notify.Refused(err)
	}
}

// Run calls Reload at each poll interval and on each signal from wake (for example
// SIGHUP) until ctx ends. wake may be nil. Changes are detected by content and not by
// modification time: a file that was put in place by renaming, or a mounted directory,
// may have an older modification time.
func (s *Source) Run(ctx context.Context, wake <-chan os.Signal) {
	ticker := time.NewTicker(s.cfg.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		// Reload has reported an error to Notify.
		_, _ = s.Reload()
	}
}

// serverConfig returns the TLS configuration for one accepted connection.
func (s *Source) serverConfig() *tls.Config {
	cfg := s.commonConfig(x509.ExtKeyUsageClientAuth)
	cfg.ClientAuth = tls.RequireAnyClientCert
	// A resumed session would skip the verification of the certificate.
	cfg.SessionTicketsDisabled = true
	return cfg
}

// clientConfig returns the TLS configuration for one dialled connection.
func (s *Source) clientConfig() *tls.Config {
	cfg := s.commonConfig(x509.ExtKeyUsageServerAuth)
	// Peers are dialled by IP address, so the standard verification of the host name
	// can't apply. VerifyConnection of commonConfig verifies the certificate chain and
	// the name on both sides.
	cfg.InsecureSkipVerify = true
	return cfg
}

// commonConfig returns the TLS configuration for the certificate and the authorities
// that are in use now. peerUsage is the key usage that the peer's certificate must allow.
func (s *Source) commonConfig(peerUsage x509.ExtKeyUsage) *tls.Config {
	b := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{b.cert},
		VerifyConnection: func(state tls.ConnectionState) error {
			return b.verify(state.PeerCertificates, s.cfg.Name, peerUsage, time.Now())
		},
	}
}
