package scenario

import (
	"slices"
	"strings"

	"frostlink/internal/strictconfig"
)

// validator adds an error to its document for each value that fails a check. Its comparisons are negated so that NaN fails as well.
type validator struct{ *strictconfig.Document }

func (v validator) above(key string, value, bound float64) {
	if !(value > bound) {
		v.AddError(key, "%v is not above %v", value, bound)
	}
}

func (v validator) atLeast(key string, value, bound float64) {
	if !(value >= bound) {
		v.AddError(key, "%v is below %v", value, bound)
	}
}

func (v validator) atMost(key string, value, bound float64) {
	if !(value <= bound) {
		v.AddError(key, "%v is above %v", value, bound)
	}
}

func (v validator) fraction(key string, value float64) {
	if !(value >= 0 && value <= 1) {
		v.AddError(key, "%v is not from 0 to 1", value)
	}
}

// uniqueName checks that a name is neither empty nor among the names seen before, and adds the name to seen.
func (v validator) uniqueName(key, name string, seen map[string]bool) {
	if v.Has(key) && name == "" {
		v.AddError(key, "is empty")
	}
	if seen[name] {
		v.AddError(key, "%q is used twice", name)
	}
	seen[name] = true
}

// oneOf checks that a value is one of the allowed values.
func oneOf[T ~string](v validator, key string, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = string(a)
	}
	v.AddError(key, "%q is not one of %s", value, strings.Join(names, ", "))
}
