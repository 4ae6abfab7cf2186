package goldentest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// Form is a type whose JSON form is pinned.
type Form struct {
	Name      string // of the form; it stays when the type's name changes
	Value     any    // a pointer to the zero value of the type
	WriteOnly bool   // no program reads it back into this type
}

// JSON compares the JSON forms of types, one line each, with a golden file. Each value is filled, field by field, with values that
// differ, so that every key shows. Each line is read back as well and has to give the same line again: what an earlier build stored can
// still be read completely.
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

// readBack reads a stored form into its type, and compares what the type gives for it.
func readBack(tb testing.TB, form Form, stored []byte) {
	tb.Helper()
	value := reflect.New(reflect.TypeOf(form.Value).Elem())
	if err := json.Unmarshal(stored, value.Interface()); err != nil {
		tb.Errorf("%s: what an earlier build wrote can't be read: %v", form.Name, err)
		return
	}
	if again, err := json.Marshal(value.Interface()); err != nil || !bytes.Equal(again, stored) {
		tb.Errorf("%s: read and written again it is %s, %v; want %s", form.Name, again, err, stored)
	}
}
