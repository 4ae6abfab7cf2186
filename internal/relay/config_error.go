package relay

import (
	"strings"
)

// ConfigError says what is wrong with the platform's configuration file.
type ConfigError struct {
	File   string // empty: Reason names it, or it is not known
	Key    string // empty: the file as a whole, or Reason names it
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
