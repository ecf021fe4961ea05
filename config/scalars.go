package config

import (
	"strconv"
	"time"
)

// Duration is a time.Duration that is encoded in JSON and YAML as text such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

const wantDuration = `a duration with unit, such as "250ms" or "2s"`

// UnmarshalText implements encoding.TextUnmarshaler. It rejects a number without a
// unit, which could mean seconds or milliseconds.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		return &ValueError{Value: string(text), Want: wantDuration}
	}
	*d = Duration(value)
	return nil
}

// Preference is a trade-off between goodput and recovery time, from PreferGoodput
// (0) to PreferRecovery (1). Its text form is goodput, balanced, recovery, or a
// number from 0 to 1.
type Preference float64

// The named preferences.
const (
	PreferGoodput  Preference = 0
	PreferBalanced Preference = 0.5
	PreferRecovery Preference = 1
)

const (
	nameGoodput    = "goodput"
	nameBalanced   = "balanced"
	nameRecovery   = "recovery"
	wantPreference = "goodput, balanced, recovery or a number from 0 to 1"
)

// String returns the text form.
func (p Preference) String() string {
	switch p {
	case PreferGoodput:
		return nameGoodput
	case PreferBalanced:
		return nameBalanced
	case PreferRecovery:
		return nameRecovery
	}
	return formatFloat(float64(p))
}

// MarshalText implements encoding.TextMarshaler.
func (p Preference) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Preference) UnmarshalText(text []byte) error {
	switch string(text) {
	case nameGoodput:
		*p = PreferGoodput
		return nil
	case nameBalanced:
		*p = PreferBalanced
		return nil
	case nameRecovery:
		*p = PreferRecovery
		return nil
	}
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !inRange(value, 0, 1) {
		return &ValueError{Value: string(text), Want: wantPreference}
	}
	*p = Preference(value)
	return nil
}

// KeyMode states whether a caller must send an idempotency key.
type KeyMode string

// The values of KeyMode.
const (
	// KeyOptional: the first node generates a key for a call without one.
	KeyOptional KeyMode = "optional"
	// KeyRequired: a call without a key is rejected before it runs.
	KeyRequired KeyMode = "required"
)

// RecordMode states where the fate of a call is recorded.
type RecordMode string

// The values of RecordMode.
const (
	// RecordNone stores the fate in the memory of the node that owns the key.
	RecordNone RecordMode = "none"
	// RecordClaim also writes the fate to the platform after the run, so that it
	// survives the loss of the owner.
	RecordClaim RecordMode = "claim"
	// RecordPeer reports the call to another member before dispatch, so that
	// operators can find it if the owner is lost.
	RecordPeer RecordMode = "peer"
)

var recordModes = []RecordMode{RecordNone, RecordClaim, RecordPeer}

// needsKey reports whether the mode applies to unrepeatable profiles only.
func (m RecordMode) needsKey() bool { return m == RecordClaim || m == RecordPeer }

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// inRange reports whether low <= f <= high. It is false for NaN.
func inRange(f, low, high float64) bool { return f >= low && f <= high }
