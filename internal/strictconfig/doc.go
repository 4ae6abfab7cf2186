// Package strictconfig reads TOML files that people write. It reports every unknown key, wrong type and bad value at once, each with
// file, line and key.
//
// A file is decoded into a Go struct. A field takes part when it has the tag `toml:"name"`; with `toml:"name,required"` the key has to be
// there. The types of fields are bool, int, int64, float64, string, structs of them (tables), slices (arrays and arrays of tables) and
// pointers, which stay nil where the key is absent. A type with other forms implements Unmarshaler. A field whose key the file lacks is
// left unchanged.
//
// Keys are written as in "partner[2].limit.count": tables joined by dots, elements of lists counted from 1.
//
// Why not a library alone: go-toml stops at the first wrong type, and BurntSushi/toml does not expose the lines of keys. So the file
// is parsed twice, into plain values by go-toml and into the lines of its keys by go-toml's own parser, and the values are assigned
// to the struct here.
//
// Files:
//
//	errors.go      FieldError, FieldErrors
//	document.go    Document: a file that was read, its lines and errors
//	decode.go      ReadFile and Decode
//	lines.go       the line of each key
//	assign.go      plain values assigned to struct fields, by reflection
//	suggest.go     the known key that a mistyped one is nearest to
package strictconfig
