package secure

// MaterialError reports the part of the TLS settings that can't be used. It never
// contains the value of the part, which may be a private key.
type MaterialError struct {
	// Part is cert, key, ca or poll.
	Part string
	// Want describes the accepted form.
	Want string
	// Cause is the error of reading or parsing the part. It may be nil.
	Cause error
}

// Error implements error.
func (e *MaterialError) Error() string {
	text := "TLS " + e.Part + ": want " + e.Want
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *MaterialError) Unwrap() error { return e.Cause }

// PeerError reports a connection without mutual authentication: the other end did not
// authenticate itself as a peer, or did not accept this process as one.
type PeerError struct {
	// Remote is the other end's address.
	Remote string
	Cause  error
}

// Error implements error.
func (e *PeerError) Error() string { return "peer " + e.Remote + " not verified: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// NameError reports a certificate without the name that every peer must have.
type NameError struct{ Want string }

// Error implements error.
func (e *NameError) Error() string { return "certificate lacks the name " + e.Want }

// CertificateError reports that a peer presented no certificate.
type CertificateError struct{}

// Error implements error.
func (*CertificateError) Error() string { return "no certificate presented" }

// ConfirmError reports that a peer did not confirm this side's certificate: it closed
// the connection, sent other data or did not respond in time.
type ConfirmError struct{ Cause error }

// Error implements error.
func (e *ConfirmError) Error() string {
	if e.Cause == nil {
		return "certificate not confirmed"
	}
	return "certificate not confirmed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConfirmError) Unwrap() error { return e.Cause }
