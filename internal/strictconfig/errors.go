package strictconfig

import (
	"fmt"
	"strings"
)

// FieldError is one error in a file.
type FieldError struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // counted from 1; 0 if the error concerns the whole file
	Key    string `json:"key,omitempty"`  // for example "partner[2].limit.count", where elements are counted from 1
	Reason string `json:"reason"`
}

// Error returns "FILE:LINE: KEY: REASON"; a line or key that is not known is left out.
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

// FieldErrors holds all errors in a file, as one error.
type FieldErrors []FieldError

// Error returns the errors, one per line.
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
