package routing

// ConfigError reports a setting that can't be used, and the values it accepts.
type ConfigError struct {
	Field string
	// Want describes the accepted values.
	Want string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return "routing: " + e.Field + ": want " + e.Want
}

// NoTargetReason is the reason why a service has no usable target.
type NoTargetReason string

// Values of NoTargetReason.
const (
	// NoTargetNone: no member offers the service.
	NoTargetNone NoTargetReason = "none"
	// NoTargetDraining: every member that offers the service is draining.
	NoTargetDraining NoTargetReason = "all-draining"
	// NoTargetExcluded: every remaining target was tried already for this call.
	NoTargetExcluded NoTargetReason = "all-excluded"
)

// NoTargetError is returned by Pick and PickFor when no target can be chosen.
// Nothing was sent, so the outcome of the call is not-run.
type NoTargetError struct {
	Service string
	Reason  NoTargetReason
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return "routing: no target for " + e.Service + ": " + string(e.Reason)
}
