// Package strictconfig reads TOML files that people write: every unknown key, wrong type and bad value is reported,
// all at once, each with file, line and key. go-toml itself stops at the first wrong type, and BurntSushi/toml
// keeps the lines of keys to itself; so the document is decoded into plain values and laid over the Go type here,
// with the lines from go-toml's own parser.
package strictconfig

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFile bounds a file in bytes: what people write is far smaller, and a wrong path may name anything.
const maxFile = 4 << 20

// FieldError is one thing that is wrong in a file.
type FieldError struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // from 1; 0 where the whole file is meant
	Key    string `json:"key,omitempty"`  // as in "partner[2].limit.count", elements counted from 1
	Reason string `json:"reason"`
}

func (p FieldError) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// FieldErrors is an error that holds all that is wrong, a line each.
type FieldErrors []FieldError

func (p FieldErrors) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a file that was read. Checks of values add what they find with Bad.
type Document struct {
	file     string
	lines    map[string]int // of each key and table
	problems FieldErrors
}

// AddError notes that the value at a key is no good. A key that the file lacks is reported at its table's line. One
// problem a key is enough: what a value of the wrong type would be checked for is not known.
func (d *Document) AddError(key, format string, args ...any) {
	if slices.ContainsFunc(d.problems, func(p FieldError) bool { return p.Key == key }) {
		return
	}
	d.problems = append(d.problems, FieldError{d.file, d.Line(key), key, fmt.Sprintf(format, args...)})
}

// Line gives the line of a key, or of the nearest table round it, or 0.
func (d *Document) Line(key string) int {
	for key != "" {
		if n := d.lines[key]; n > 0 {
			return n
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 0
}

// Has tells whether the file has a key.
func (d *Document) Has(key string) bool { return d.lines[key] > 0 }

// Err gives Problems with all that was found, by line, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

// Valuer is a type that reads itself from a TOML value: int64, float64, string, bool, []any or map[string]any.
type Valuer interface{ FromTOML(v any) error }

// ReadFile reads and lays out a file as Decode does.
func ReadFile(path string, into any) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return nil, fmt.Errorf("%s: is a folder", path)
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), maxFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, raw, into), nil
}

// Decode lays a document over the struct that into points to. Fields are named by the tag `toml:"name"`; with
// ",required" the key has to be there. What the document lacks keeps its value. All problems are in the Doc.
func Decode(file string, raw []byte, into any) *Document {
	d := &Document{file: file, lines: map[string]int{}}
	var values map[string]any
	if err := toml.Unmarshal(raw, &values); err != nil {
		p := FieldError{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
		if at := (*toml.DecodeError)(nil); errors.As(err, &at) {
			p.Line, _ = at.Position()
			p.Key = strings.Join(at.Key(), ".")
		}
		d.problems = append(d.problems, p)
		return d
	}
	d.locate(raw)
	d.table("", values, reflect.ValueOf(into).Elem())
	return d
}

// locate finds the line of each key. The document is known to parse.
func (d *Document) locate(raw []byte) {
	p := unstable.Parser{}
	p.Reset(raw)
	counts := map[string]int{} // of the elements of arrays of tables
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			keys, line := path(&p, e.Key())
			table = ""
			for i, k := range keys {
				table = join(table, k)
				if e.Kind == unstable.ArrayTable && i == len(keys)-1 {
					counts[table]++
				}
				if n := counts[table]; n > 0 {
					d.note(table, line)
					table = fmt.Sprintf("%s[%d]", table, n)
				}
				d.note(table, line)
			}
		case unstable.KeyValue:
			d.value(&p, table, e)
		}
	}
}

// value notes a key, and what lies in it.
func (d *Document) value(p *unstable.Parser, under string, e *unstable.Node) {
	keys, line := path(p, e.Key())
	for _, k := range keys {
		under = join(under, k)
		d.note(under, line)
	}
	d.inside(p, under, e.Value())
}

func (d *Document) inside(p *unstable.Parser, under string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			d.value(p, under, it.Node())
		}
	case unstable.Array:
		n := 0
		for it := v.Children(); it.Next(); {
			n++
			d.inside(p, fmt.Sprintf("%s[%d]", under, n), it.Node())
		}
	}
}

func (d *Document) note(key string, line int) {
	if d.lines[key] == 0 {
		d.lines[key] = line
	}
}

func path(p *unstable.Parser, it unstable.Iterator) (keys []string, line int) {
	for it.Next() {
		keys = append(keys, string(it.Node().Data))
		line = p.Shape(it.Node().Raw).Start.Line
	}
	return keys, line
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// table lays a table over a struct.
func (d *Document) table(at string, values map[string]any, into reflect.Value) {
	known := map[string]bool{}
	var names []string
	for i := range into.NumField() {
		name, opts, _ := strings.Cut(into.Type().Field(i).Tag.Get("toml"), ",")
		if name == "" {
			continue
		}
		known[name] = true
		names = append(names, name)
		v, ok := values[name]
		switch {
		case ok:
			d.set(join(at, name), v, into.Field(i))
		case opts == "required":
			d.AddError(join(at, name), "is missing")
		}
	}
	for _, k := range slices.Sorted(maps.Keys(values)) {
		if !known[k] {
			d.AddError(join(at, k), "unknown key%s", nearest(k, names))
		}
	}
}

// set lays one value over a field.
func (d *Document) set(at string, v any, into reflect.Value) {
	if own, ok := into.Addr().Interface().(Valuer); ok {
		if err := own.FromTOML(v); err != nil {
			d.AddError(at, "%v", err)
		}
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.set(at, v, into.Elem())
		return
	case reflect.Struct:
		if m, ok := v.(map[string]any); ok {
			d.table(at, m, into)
			return
		}
	case reflect.Slice:
		if list, ok := v.([]any); ok {
			into.Set(reflect.MakeSlice(into.Type(), len(list), len(list)))
			for i, e := range list {
				d.set(fmt.Sprintf("%s[%d]", at, i+1), e, into.Index(i))
			}
			return
		}
	case reflect.Float64:
		switch n := v.(type) {
		case int64:
			into.SetFloat(float64(n))
			return
		case float64:
			if math.IsNaN(n) || math.IsInf(n, 0) {
				d.AddError(at, "%v is no finite number", n)
			} else {
				into.SetFloat(n)
			}
			return
		}
	case reflect.Int, reflect.Int64:
		if n, ok := v.(int64); ok {
			if into.OverflowInt(n) {
				d.AddError(at, "%d is out of range", n)
			} else {
				into.SetInt(n)
			}
			return
		}
	case reflect.String:
		if s, ok := v.(string); ok {
			into.SetString(s)
			return
		}
	case reflect.Bool:
		if b, ok := v.(bool); ok {
			into.SetBool(b)
			return
		}
	}
	d.AddError(at, "is %s, has to be %s", kindOf(v), wanted(into.Type()))
}

// kindOf names the type of a TOML value.
func kindOf(v any) string {
	switch v := v.(type) {
	case int64:
		return "the whole number " + strconv.FormatInt(v, 10)
	case float64:
		return fmt.Sprintf("the number %v", v)
	case string:
		return fmt.Sprintf("the text %q", v)
	case bool:
		return fmt.Sprint(v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

// wanted names the type that a field takes.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "a table"
	}
	return "a " + t.Kind().String()
}

// nearest proposes the known name that differs least from a key, where one is near.
func nearest(key string, names []string) string {
	best, least := "", 3
	for _, n := range names {
		if d := distance(key, n); d < least && d < len(n) {
			best, least = n, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (meant %q?)", best)
}

// distance is the edit distance of two short texts (Levenshtein).
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			last, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, last+cost)
		}
	}
	return row[len(b)]
}
