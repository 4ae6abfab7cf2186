package scenario

import (
	"slices"
	"testing"
)

// A key in faultKinds that is missing in faultKeys would have no check of its value, and would not be reported for kinds of faults
// that do not take it.
func TestFaultKinds_TakeKnownKeys(t *testing.T) {
	for kind, spec := range faultKinds {
		for _, name := range slices.Concat(spec.required, spec.optional) {
			if !slices.ContainsFunc(faultKeys, func(key faultKey) bool { return key.name == name }) {
				t.Errorf("%s takes %q, which is not in faultKeys", kind, name)
			}
		}
	}
}
