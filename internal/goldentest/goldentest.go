// Package goldentest compares what is stored, or leaves the process, with files that an earlier build wrote. A form that
// outlives a build must not change because a Go name does: a field that is renamed without a tag, or moved, fails here.
//
// The files lie in testdata/golden of the package under test. Run its tests with -update-golden to write them anew, which
// is right only where a page of the project says that the form has changed.
package goldentest

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// dir holds the golden files of a package.
const dir = "testdata/golden"

var update = flag.Bool("update-golden", false, "write the golden files anew")

// Bytes compares got with a golden file.
func Bytes(t testing.TB, file string, got []byte) {
	t.Helper()
	path := filepath.Join(dir, file)
	if *update {
		write(t, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s has changed:\ngot  %s\nwant %s", path, got, want)
	}
}

// Read gives a golden file.
func Read(t testing.TB, file string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(dir, file))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// File writes a golden file anew where that is wanted: make writes one of that name into a folder.
func File(t testing.TB, file, name string, make func(folder string)) {
	t.Helper()
	if !*update {
		return
	}
	folder := t.TempDir()
	make(folder)
	raw, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	write(t, filepath.Join(dir, file), raw)
}

// Copy gives a folder of its own with a copy of a golden file, under a name.
func Copy(t testing.TB, file, name string) (folder string) {
	t.Helper()
	folder = t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, name), Read(t, file), 0o600); err != nil {
		t.Fatal(err)
	}
	return folder
}

// JSON compares the JSON forms of types, one line each, with a golden file: each value is filled, field by field, with
// values that differ, so that every key shows. The lines are read back as well, and must give the same again: what an
// earlier build has stored is still read whole. Each value is a pointer to the zero value of its type; name is the form's,
// which stays when the type's changes.
func JSON(t testing.TB, file string, forms ...Form) {
	t.Helper()
	var got bytes.Buffer
	for _, form := range forms {
		next := 0
		fill(reflect.ValueOf(form.Value).Elem(), &next)
		line, err := json.Marshal(form.Value)
		if err != nil {
			t.Fatalf("%s: %v", form.Name, err)
		}
		fmt.Fprintf(&got, "%s %s\n", form.Name, line)
	}
	Bytes(t, file, got.Bytes())
	lines := bytes.Split(bytes.TrimSpace(Read(t, file)), []byte("\n"))
	for i, form := range forms {
		if i >= len(lines) || form.WriteOnly {
			continue
		}
		_, stored, _ := bytes.Cut(lines[i], []byte(" "))
		back := reflect.New(reflect.TypeOf(form.Value).Elem())
		if err := json.Unmarshal(stored, back.Interface()); err != nil {
			t.Errorf("%s: what an earlier build has written can't be read: %v", form.Name, err)
			continue
		}
		if again, err := json.Marshal(back.Interface()); err != nil || !bytes.Equal(again, stored) {
			t.Errorf("%s: read and written again it is %s, %v; want %s", form.Name, again, err, stored)
		}
	}
}

// Form is a type whose JSON form is kept.
type Form struct {
	Name      string
	Value     any  // a pointer to the zero value
	WriteOnly bool // no program reads it back into this type
}

// fill sets each exported field, and what lies below it, to a value that no other has.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if v.Type().Name() == "Instant" {
			v.SetInt(1_700_000_000_000_000_000 + int64(*next)*1_000_000)
		} else {
			v.SetInt(int64(*next) % 100)
		}
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next) % 100)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		if v.Type().PkgPath() == "time" {
			v.Set(reflect.ValueOf(instant(*next)))
			return
		}
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
				fill(v.Field(i), next)
			}
		}
	}
}

func write(t testing.TB, path string, raw []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		t.Fatal(err)
	}
}
