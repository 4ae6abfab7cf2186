package strictconfig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

type even int

func (e *even) FromTOML(v any) error {
	n, ok := v.(int64)
	if !ok || n%2 != 0 {
		return fmt.Errorf("%v is not even", v)
	}
	*e = even(n)
	return nil
}

type sample struct {
	Name string `toml:"name,required"`
	Rate float64
	Size float64 `toml:"size"`
	Even even    `toml:"even"`
	On   *bool   `toml:"on"`
	Part struct {
		Count int `toml:"count,required"`
	} `toml:"part"`
	Item []struct {
		Name  string    `toml:"name"`
		Range []float64 `toml:"range"`
		Deep  struct {
			X int `toml:"x"`
		} `toml:"deep"`
	} `toml:"item"`
}

func TestDecode_ReportsAllErrorsAtOnce(t *testing.T) {
	text := `size = "big"
sise = 3
even = 3

[part]
coutn = 4

[[item]]
name = "a"
range = [1, "two"]

[[item]]
name = 7
deep = { x = 1.5, y = 2 }
`
	var s sample
	err := Decode("f.toml", []byte(text), &s).Err()
	var got FieldErrors
	if !errors.As(err, &got) {
		t.Fatalf("error %v, want FieldErrors", err)
	}
	want := []string{
		`f.toml: name: is missing`,
		`f.toml:1: size: is the text "big", has to be a number`,
		`f.toml:2: sise: unknown key (meant "size"?)`,
		`f.toml:3: even: 3 is not even`,
		`f.toml:5: part.count: is missing`,
		`f.toml:6: part.coutn: unknown key (meant "count"?)`,
		`f.toml:10: item[1].range[2]: is the text "two", has to be a number`,
		`f.toml:13: item[2].name: is the whole number 7, has to be a text`,
		`f.toml:14: item[2].deep.x: is the number 1.5, has to be a whole number`,
		`f.toml:14: item[2].deep.y: unknown key`,
	}
	if lines := strings.Split(got.Error(), "\n"); !reflect.DeepEqual(lines, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(lines, "\n"), strings.Join(want, "\n"))
	}
}

func TestDecode_AssignsValues(t *testing.T) {
	var s sample
	d := Decode("f", []byte("name='n'\nsize=2\neven=4\non=true\npart.count=3\n[[item]]\nrange=[1,2.5]\n"), &s)
	if err := d.Err(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "n" || s.Size != 2 || s.Even != 4 || s.On == nil || !*s.On || s.Part.Count != 3 || s.Item[0].Range[1] != 2.5 {
		t.Errorf("got %+v", s)
	}
	if d.Line("item[1].range") != 7 || d.Line("item[1].deep.x") != 6 || !d.Has("on") || d.Has("rate") {
		t.Error("Line or Has gives a wrong result")
	}
}

func TestDecode_SyntaxErrorNamesItsLine(t *testing.T) {
	for text, line := range map[string]int{"name = 'a'\nsize = = 2\n": 2, "name='a'\nname='b'\n": 2, "size = nan\nname='a'": 1} {
		t.Run(text, func(t *testing.T) {
			var s sample
			var got FieldErrors
			if !errors.As(Decode("f", []byte(text), &s).Err(), &got) || got[0].Line != line {
				t.Errorf("got %v, want line %d", got, line)
			}
		})
	}
}

func TestFieldErrors_UnwrapGivesEach(t *testing.T) {
	var s sample
	err := Decode("f", []byte("name = 1\nsise = 2\n"), &s).Err()
	if want := (FieldError{File: "f", Line: 1, Key: "name", Reason: "is the whole number 1, has to be a text"}); !errors.Is(err, want) {
		t.Errorf("%v, want an error that wraps %v", err, want)
	}
}

func TestDocument_AddErrorCountsTheFirstOfAKey(t *testing.T) {
	var s sample
	d := Decode("f", []byte("name = 'n'\nsize = 2\n"), &s)
	d.AddError("size", "is too large")
	d.AddError("size", "is even")
	if err, want := d.Err(), "f:2: size: is too large"; err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

func TestReadFile_SaysWhyItCannotRead(t *testing.T) {
	dir := t.TempDir()
	large := filepath.Join(dir, "large.toml")
	if err := os.WriteFile(large, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		dir:                             dir + ": is a directory",
		large:                           large + ": file has 4194305 bytes, the maximum is 4194304",
		filepath.Join(dir, "none.toml"): "stat " + filepath.Join(dir, "none.toml") + ": no such file or directory",
	} {
		var s sample
		if _, err := ReadFile(path, &s); err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("name='n'\n[part]\ncount=3\n[[item]]\nrange=[1,2]\n[item.deep]\nx=1\n")
	f.Add("item=[{name='a',deep={x=1}},3]\n'a.b'.c=1\n")
	f.Fuzz(func(t *testing.T, text string) {
		var s sample
		if err := Decode("f", []byte(text), &s).Err(); err == nil && s.Name == "" && !strings.Contains(text, "name") {
			t.Error("the missing required key name was not reported")
		}
	})
}
