package retry

// ConfigError reports a setting that can't be used, and the values it accepts.
type ConfigError struct {
	Field string
	// Want describes the accepted values.
	Want string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return "retry: " + e.Field + ": want " + e.Want
}
