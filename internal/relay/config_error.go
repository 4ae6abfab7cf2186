package relay

import (
	"strings"
)

// ConfigError is a fault in the platform's configuration file.
type ConfigError struct {
	File   string // empty if Reason names the file, or if the file is unknown
	Key    string // empty if Reason names the key, or if the fault is not in a single key
	Reason error
}

func (e *ConfigError) Error() string {
	var text strings.Builder
	text.WriteString("configuration")
	if e.File != "" {
		text.WriteString(" " + e.File)
	}
	text.WriteString(": ")
	if e.Key != "" {
		text.WriteString(e.Key + ": ")
	}
	text.WriteString(e.Reason.Error())
	return text.String()
}

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Reason }
