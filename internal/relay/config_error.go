package relay

import (
	"strings"
)

// ConfigError is a fault in the platform's configuration file.
type ConfigError struct {
	File   string // empty if Reason names it or it is unknown
	Key    string // empty if Reason names it or the fault is not in one key
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
