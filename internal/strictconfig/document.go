package strictconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Document is a decoded file. Callers that check its values report invalid ones with AddError.
type Document struct {
	file   string
	lines  map[string]int // the line of each key and table
	errors FieldErrors
}

// AddError records that the value of a key can't be used. A key that is absent from the file is reported at the line of its table. Only
// the first error for a key is kept: after a value of the wrong type, the field still has its old value, and errors from checking that
// value would mislead.
func (d *Document) AddError(key, format string, args ...any) {
	if slices.ContainsFunc(d.errors, func(e FieldError) bool { return e.Key == key }) {
		return
	}
	d.errors = append(d.errors, FieldError{File: d.file, Line: d.Line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// Line returns the line of a key. If the key is absent, it returns the line of the innermost enclosing table or list that the file has,
// or else 0.
func (d *Document) Line(key string) int {
	for key != "" {
		if line := d.lines[key]; line > 0 {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 0
}

// Has reports whether the file contains a key.
func (d *Document) Has(key string) bool { return d.lines[key] > 0 }

// Err returns all errors as FieldErrors sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errors, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
	return d.errors
}
