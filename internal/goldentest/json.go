package goldentest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// Form is a type whose JSON encoding is compared with a golden file.
type Form struct {
	Name      string // identifies the type in the golden file; it stays when the Go type is renamed
	Value     any    // a pointer to the zero value of the type
	WriteOnly bool   // no program decodes the JSON into this type
}

// JSON compares the JSON encodings of types, one line each, with a golden file. Each field is filled with a different value, so that every
// key is encoded. Each line of the golden file is also decoded and encoded again, and has to give the same line, so that all
// data stored by an earlier build can still be read.
func JSON(tb testing.TB, file string, forms ...Form) {
	tb.Helper()
	var got bytes.Buffer
	for _, form := range forms {
		next := 0
		fill(reflect.ValueOf(form.Value).Elem(), &next)
		line, err := json.Marshal(form.Value)
		if err != nil {
			tb.Fatalf("%s: %v", form.Name, err)
		}
		fmt.Fprintf(&got, "%s %s\n", form.Name, line)
	}
	Bytes(tb, file, got.Bytes())
	lines := bytes.Split(bytes.TrimSpace(Read(tb, file)), []byte("\n"))
	for i, form := range forms {
		if i >= len(lines) || form.WriteOnly {
			continue
		}
		_, stored, _ := bytes.Cut(lines[i], []byte(" "))
		readBack(tb, form, stored)
	}
}

// readBack decodes a stored line into its type, encodes the result again and compares it with the line.
func readBack(tb testing.TB, form Form, stored []byte) {
	tb.Helper()
	value := reflect.New(reflect.TypeOf(form.Value).Elem())
	if err := json.Unmarshal(stored, value.Interface()); err != nil {
		tb.Errorf("%s: JSON written by an earlier build can't be decoded: %v", form.Name, err)
		return
	}
	if again, err := json.Marshal(value.Interface()); err != nil || !bytes.Equal(again, stored) {
		tb.Errorf("%s: decoded and encoded again it is %s (error %v), want %s", form.Name, again, err, stored)
	}
}
