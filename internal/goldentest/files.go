package goldentest

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// dir is the folder of a package's golden files.
const dir = "testdata/golden"

var update = flag.Bool("update-golden", false, "rewrite the golden files")

// Bytes compares got with a golden file. With -update-golden it writes got to the file first.
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

// Regenerate rewrites a golden file if -update-golden is set, and otherwise does nothing. The function generate has to write the new
// content to a file of the given name in a folder.
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
