package invariant

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenNames(t *testing.T) {
	names := slices.Sorted(maps.Keys(new(Counts).ByKind()))
	goldentest.Bytes(t, "kinds.txt", []byte(LogMessage+"\n"+strings.Join(names, "\n")+"\n"))
}
