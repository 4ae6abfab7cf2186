package disk

import (
	"os"
	"path/filepath"
	"testing"

	"frostlink/internal/coord/replica"
	"frostlink/internal/goldentest"
)

// TestGoldenFolder: a member's folder that an earlier build has written holds what it held.
func TestGoldenFolder(t *testing.T) {
	_, want := filled(t)
	goldentest.File(t, "member.db", fileName, func(dir string) {
		from, _ := filled(t)
		raw, err := os.ReadFile(filepath.Join(from, fileName))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, fileName), raw, 0o600); err != nil {
			t.Fatal(err)
		}
	})
	id, got, err := Read(goldentest.Copy(t, "member.db", fileName))
	if err != nil {
		t.Fatal(err)
	}
	if id.Cluster != "c" || id.ID != 1 || id.Address != "a:1" {
		t.Errorf("identity %+v", id)
	}
	if len(got.Incarnations) != 1 || got.Incarnations[0] != want.Incarnations[0] || len(got.PeerIncarnations) != 2 || got.PeerIncarnations[3] != want.PeerIncarnations[3] || got.HardState.GetTerm() != want.HardState.GetTerm() ||
		got.Snapshot.GetMetadata().GetIndex() != 4 || len(got.Entries) != len(want.Entries) {
		t.Errorf("%+v, want %+v", got, want)
	}
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "identity", Value: &Identity{}}, goldentest.Form{Name: "lives", Value: &[]replica.Incarnation{}},
		goldentest.Form{Name: "marks", Value: &map[uint64]replica.Incarnation{}})
}
