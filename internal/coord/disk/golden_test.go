package disk

import (
	"os"
	"path/filepath"
	"testing"

	"frostlink/internal/coord/replica"
	"frostlink/internal/goldentest"
)

// TestRead_FolderOfEarlierBuild: a folder that an earlier build has written is read with its
// original contents.
func TestRead_FolderOfEarlierBuild(t *testing.T) {
	_, want := createFilled(t)
	goldentest.Regenerate(t, "member.db", fileName, func(dir string) {
		from, _ := createFilled(t)
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
		t.Errorf("unexpected identity %+v", id)
	}
	if !matches(got, want) {
		t.Errorf("read state %+v, want %+v", got, want)
	}
	goldentest.JSON(t, "forms.txt",
		goldentest.Form{Name: "identity", Value: &Identity{}},
		goldentest.Form{Name: "lives", Value: &[]replica.Incarnation{}},
		goldentest.Form{Name: "marks", Value: &map[uint64]replica.Incarnation{}})
}
