package operatorconfig

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"frostlink/internal/strictconfig"
)

func TestRead_ShippedFileTurnsNothingOn(t *testing.T) {
	f, err := Read("../../deploy/frostlink.toml")
	if err != nil {
		t.Fatal(err)
	}
	if *f != *Off() {
		t.Errorf("the shipped file turns a section on: %+v", f)
	}
}

func TestRead_ReportsEveryError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.toml")
	if err := os.WriteFile(path, []byte("version = 9\nversio = 1\n\n[nothing]\na = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Read(path)
	var got strictconfig.FieldErrors
	if !errors.As(err, &got) || len(got) != 3 || got[0].Line != 1 || got[1].Line != 2 || got[2].Line != 4 {
		t.Errorf("got %v, want errors in lines 1, 2 and 4", err)
	}
}

func TestRead_MissingFile(t *testing.T) {
	if _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: error %v, want os.ErrNotExist", err)
	}
}
