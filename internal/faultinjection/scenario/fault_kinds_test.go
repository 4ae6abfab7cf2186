package scenario

import (
	"slices"
	"testing"
)

// A key that only the table of kinds has would be neither checked nor reported where it means nothing.
func TestFaultKinds_TakeKnownKeys(t *testing.T) {
	for kind, spec := range faultKinds {
		for _, name := range slices.Concat(spec.required, spec.optional) {
			if !slices.ContainsFunc(faultKeys, func(key faultKey) bool { return key.name == name }) {
				t.Errorf("%s takes %q, which is no key of a fault", kind, name)
			}
		}
	}
}
