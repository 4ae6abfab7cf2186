package goldentest

import (
	"fmt"
	"reflect"
	"time"
)

// instantType is the name of the type for a point in time in nanoseconds. Such a value is stored as a date, and small numbers of nanoseconds
// would all give the same date.
const instantType = "Instant"

// fill sets v, or each exported field in it at any depth, to a different value. next counts the values. The golden files contain these
// values, so the order in which they are assigned must not change.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
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
		fillMap(v, next)
	case reflect.Struct:
		fillStruct(v, next)
	default:
		setScalar(v, *next)
	}
}

// fillMap gives a map one entry.
func fillMap(v reflect.Value, next *int) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	fill(key, next)
	fill(value, next)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

// fillStruct fills the fields that JSON encodes.
func fillStruct(v reflect.Value, next *int) {
	if v.Type().PkgPath() == "time" {
		v.Set(reflect.ValueOf(date(*next)))
		return
	}
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
			fill(v.Field(i), next)
		}
	}
}

// setScalar sets v to a value derived from a number. Values of kinds that JSON does not encode are left unchanged.
func setScalar(v reflect.Value, number int) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if v.Type().Name() == instantType {
			v.SetInt(1_700_000_000_000_000_000 + int64(number)*1_000_000)
		} else {
			v.SetInt(int64(number) % 100) // fits an int8
		}
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number) % 100)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", number))
	default:
	}
}

// date returns a different time for each number.
func date(number int) time.Time {
	return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(time.Duration(number) * time.Second)
}
