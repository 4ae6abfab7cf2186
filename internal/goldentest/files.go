package goldentest

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// dir holds the golden files of a package.
const dir = "testdata/golden"

var update = flag.Bool("update-golden", false, "write the golden files anew")

// Bytes compares got with a golden file.
func Bytes(tb testing.TB, file string, got []byte) {
	tb.Helper()
	path := filepath.Join(dir, file)
	if *update {
		write(tb, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		tb.Errorf("%s has changed:\ngot  %s\nwant %s", path, got, want)
	}
}

// Read returns a golden file.
func Read(tb testing.TB, file string) []byte {
	tb.Helper()
	raw, err := os.ReadFile(filepath.Join(dir, file))
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// Regenerate writes a golden file anew with -update-golden, and else does nothing. generate writes the file under the given name into a
// folder.
func Regenerate(tb testing.TB, file, name string, generate func(folder string)) {
	tb.Helper()
	if !*update {
		return
	}
	folder := tb.TempDir()
	generate(folder)
	raw, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		tb.Fatal(err)
	}
	write(tb, filepath.Join(dir, file), raw)
}

// Copy returns a new folder with a copy of a golden file under the given name, for code that opens a store and changes it.
func Copy(tb testing.TB, file, name string) (folder string) {
	tb.Helper()
	folder = tb.TempDir()
	if err := os.WriteFile(filepath.Join(folder, name), Read(tb, file), 0o600); err != nil {
		tb.Fatal(err)
	}
	return folder
}

func write(tb testing.TB, path string, raw []byte) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		tb.Fatal(err)
	}
}
