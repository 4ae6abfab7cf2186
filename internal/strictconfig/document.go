package strictconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Document is a file that was read. Callers that check its values add what they find with AddError.
type Document struct {
	file   string
	lines  map[string]int // of each key and table
	errors FieldErrors
}

// AddError notes that the value of a key can't be used. A key that the file lacks is reported at its table's line. Only the first error
// of a key counts: what a value of the wrong type would be checked for is not known.
func (d *Document) AddError(key, format string, args ...any) {
	if slices.ContainsFunc(d.errors, func(e FieldError) bool { return e.Key == key }) {
		return
	}
	d.errors = append(d.errors, FieldError{File: d.file, Line: d.Line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// Line returns the line of a key, or of the innermost table or list round it that the file has, or 0.
func (d *Document) Line(key string) int {
	for key != "" {
		if line := d.lines[key]; line > 0 {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 0
}

// Has reports whether the file has a key.
func (d *Document) Has(key string) bool { return d.lines[key] > 0 }

// Err returns FieldErrors with all that was found, by line, or nil.
func (d *Document) Err() error {
	if len(d.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errors, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
	return d.errors
}
