package strictconfig

import (
	"fmt"
	"strings"
)

// FieldError is one thing that is wrong in a file.
type FieldError struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // from 1; 0 where the whole file is meant
	Key    string `json:"key,omitempty"`  // as in "partner[2].limit.count", elements counted from 1
	Reason string `json:"reason"`
}

// Error returns "FILE:LINE: KEY: REASON", without the parts that are not known.
func (e FieldError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Reason)
	return b.String()
}

// FieldErrors is an error that holds all that is wrong in a file.
type FieldErrors []FieldError

// Error returns the errors, one a line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors for errors.Is and errors.As.
func (e FieldErrors) Unwrap() []error {
	list := make([]error, len(e))
	for i, one := range e {
		list[i] = one
	}
	return list
}
