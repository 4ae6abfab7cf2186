package invariant

import "testing"

func TestCounts_CountsByKind(t *testing.T) {
	var c Counts
	c.Record(CompletedTwice, "m", "outcome", "deferred")
	byKind := c.ByKind()
	if len(byKind) != int(kindCount) || byKind["end_twice"] != 1 || byKind["send_after_end"] != 0 {
		t.Errorf("counts: %v", byKind)
	}
}

// The names of kinds are unique: otherwise ByKind would lose a count.
func TestKind_NamesAreUnique(t *testing.T) {
	seen := map[string]Kind{}
	for k := range kindCount {
		name := k.String()
		if other, ok := seen[name]; ok || name == "" {
			t.Errorf("kinds %d and %d are both named %q", other, k, name)
		}
		seen[name] = k
	}
}
