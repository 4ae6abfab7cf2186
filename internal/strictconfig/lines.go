package strictconfig

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineFinder walks a text that is known to be valid TOML, and records the line on which each key first appears.
type lineFinder struct {
	parser   unstable.Parser
	lines    map[string]int // the line of each key
	elements map[string]int // the number of elements of each array of tables so far
}

// locateKeys records the line of each key of the file in d.lines.
func (d *Document) locateKeys(raw []byte) {
	f := lineFinder{lines: d.lines, elements: map[string]int{}}
	f.parser.Reset(raw)
	table := "" // the table of the most recent header, to which the following keys belong
	for f.parser.NextExpression() {
		switch e := f.parser.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = f.header(e)
		case unstable.KeyValue:
			f.keyValue(table, e)
		default: // comments
		}
	}
}

// header records the lines of the tables that a header [a.b] or [[a.b]] names, and returns the key of the innermost one. A table below an
// array of tables belongs to the array's last element.
func (f *lineFinder) header(e *unstable.Node) (table string) {
	names, line := f.keyPath(e.Key())
	for i, name := range names {
		table = joinKey(table, name)
		if e.Kind == unstable.ArrayTable && i == len(names)-1 {
			f.elements[table]++
		}
		if n := f.elements[table]; n > 0 {
			f.note(table, line)
			table = elementKey(table, n)
		}
		f.note(table, line)
	}
	return table
}

// keyValue records the lines of the key in KEY = VALUE, of the tables that a dotted key names, and of the keys inside the value.
func (f *lineFinder) keyValue(table string, e *unstable.Node) {
	names, line := f.keyPath(e.Key())
	key := table
	for _, name := range names {
		key = joinKey(key, name)
		f.note(key, line)
	}
	f.value(key, e.Value())
}

// value records the lines of the keys of inline tables in a value. Array elements that are not tables have no line of their own; for
// them Line returns the line of their array.
func (f *lineFinder) value(key string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			f.keyValue(key, it.Node())
		}
	case unstable.Array:
		n := 0
		for it := v.Children(); it.Next(); {
			n++
			f.value(elementKey(key, n), it.Node())
		}
	default: // scalars contain no keys
	}
}

func (f *lineFinder) note(key string, line int) {
	if f.lines[key] == 0 {
		f.lines[key] = line
	}
}

// keyPath returns the names in a dotted key, and the line of the last one.
func (f *lineFinder) keyPath(it unstable.Iterator) (names []string, line int) {
	for it.Next() {
		names = append(names, string(it.Node().Data))
		line = f.parser.Shape(it.Node().Raw).Start.Line
	}
	return names, line
}

// joinKey returns the key of a name in a table; the key of the top-level table is "".
func joinKey(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}

// elementKey returns the key of a list's nth element, counted from 1.
func elementKey(list string, n int) string { return fmt.Sprintf("%s[%d]", list, n) }
