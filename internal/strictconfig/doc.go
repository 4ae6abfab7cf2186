// Package strictconfig reads TOML files that people write. It reports every unknown key, wrong type and bad value at once, each with
// file, line and key.
//
// A file is decoded into a Go struct. Only fields with a tag `toml:"name"` are decoded; with `toml:"name,required"` the key must be
// present. The types of fields are bool, int, int64, float64, string, structs of these (tables), slices (arrays and arrays of tables)
// and pointers, which stay nil if the key is absent. A type that is written in another form implements Unmarshaler. A field whose key
// is absent from the file is left unchanged.
//
// In errors, a key is written like "partner[2].limit.count": table names are joined by dots, and list elements are counted from 1.
//
// No TOML library suffices alone: go-toml stops at the first wrong type, and BurntSushi/toml does not expose the lines of keys.
// Therefore the file is parsed twice, by go-toml into plain values and by go-toml's low-level parser to find the line of each key, and
// this package assigns the values to the struct.
//
// Files:
//
//	errors.go      FieldError, FieldErrors
//	document.go    Document: a decoded file, with the lines of its keys and its errors
//	decode.go      ReadFile and Decode
//	lines.go       finds the line of each key
//	assign.go      assigns plain values to struct fields by reflection
//	suggest.go     suggests the known key that is nearest to an unknown one
package strictconfig
