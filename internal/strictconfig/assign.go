package strictconfig

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Unmarshaler is implemented by types that decode themselves from a TOML value. The value is an int64, float64, string, bool, []any or
// map[string]any.
type Unmarshaler interface{ FromTOML(value any) error }

// tagRequired is the tag option that makes a field's key required.
const tagRequired = "required"

// assignTable assigns the values of a table to the struct fields whose tags name their keys. It reports keys that no tag names, and
// required keys that are missing.
func (d *Document) assignTable(table string, values map[string]any, into reflect.Value) {
	var names []string // the keys that the table may have
	for i := range into.NumField() {
		name, option, _ := strings.Cut(into.Type().Field(i).Tag.Get("toml"), ",")
		if name == "" {
			continue
		}
		names = append(names, name)
		value, ok := values[name]
		switch {
		case ok:
			d.assign(joinKey(table, name), value, into.Field(i))
		case option == tagRequired:
			d.AddError(joinKey(table, name), "is missing")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains(names, name) {
			d.AddError(joinKey(table, name), "unknown key%s", suggestion(name, names))
		}
	}
}

// assign assigns one value to a field. The field is addressable because it belongs to the struct that Decode was given a pointer to.
func (d *Document) assign(key string, value any, field reflect.Value) {
	if own, ok := field.Addr().Interface().(Unmarshaler); ok {
		if err := own.FromTOML(value); err != nil {
			d.AddError(key, "%v", err)
		}
		return
	}
	if field.Kind() == reflect.Pointer {
		field.Set(reflect.New(field.Type().Elem()))
		d.assign(key, value, field.Elem())
		return
	}
	if !d.assignByKind(key, value, field) {
		d.AddError(key, "is %s, has to be %s", describeValue(value), describeType(field.Type()))
	}
}

// assignByKind assigns a value to a field according to the field's kind. It returns false if the value's type does not fit the field;
// it adds any other error to the document.
func (d *Document) assignByKind(key string, value any, field reflect.Value) (fits bool) {
	switch field.Kind() {
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if ok {
			d.assignTable(key, table, field)
		}
		return ok
	case reflect.Slice:
		list, ok := value.([]any)
		if ok {
			d.assignList(key, list, field)
		}
		return ok
	case reflect.Float64:
		return d.assignFloat(key, value, field)
	case reflect.Int, reflect.Int64:
		return d.assignInt(key, value, field)
	case reflect.String:
		text, ok := value.(string)
		if ok {
			field.SetString(text)
		}
		return ok
	case reflect.Bool:
		truth, ok := value.(bool)
		if ok {
			field.SetBool(truth)
		}
		return ok
	default:
		return false
	}
}

// assignList assigns a list to a slice element by element, so that each error is reported under the key of its element.
func (d *Document) assignList(key string, list []any, field reflect.Value) {
	field.Set(reflect.MakeSlice(field.Type(), len(list), len(list)))
	for i, value := range list {
		d.assign(elementKey(key, i+1), value, field.Index(i))
	}
}

// assignFloat assigns a float or an integer. It rejects TOML's inf and nan, which are not valid in any setting.
func (d *Document) assignFloat(key string, value any, field reflect.Value) (fits bool) {
	switch n := value.(type) {
	case int64:
		field.SetFloat(float64(n))
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			d.AddError(key, "%v is not a finite number", n)
			return true
		}
		field.SetFloat(n)
	default:
		return false
	}
	return true
}

// assignInt assigns an integer, or adds an error if the integer overflows the field's type.
func (d *Document) assignInt(key string, value any, field reflect.Value) (fits bool) {
	n, ok := value.(int64)
	if !ok {
		return false
	}
	if field.OverflowInt(n) {
		d.AddError(key, "%d is out of range", n)
		return true
	}
	field.SetInt(n)
	return true
}

// describeValue names the type of a TOML value for an error message, with the value itself if it is a scalar.
func describeValue(value any) string {
	switch v := value.(type) {
	case int64:
		return "the whole number " + strconv.FormatInt(v, 10)
	case float64:
		return fmt.Sprintf("the number %v", v)
	case string:
		return fmt.Sprintf("the text %q", v)
	case bool:
		return strconv.FormatBool(v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

// describeType names the type of value that a field accepts, for an error message.
func describeType(t reflect.Type) string {
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
	default:
		return "a " + t.Kind().String()
	}
}
