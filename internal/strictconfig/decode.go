package strictconfig

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes bounds a file: what people write is far smaller, and a wrong path may name anything.
const maxFileBytes = 4 << 20

// ReadFile reads a file and decodes it as Decode does. Its error says why the file can't be read; errors in the file are in the
// Document.
func ReadFile(path string, into any) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // it names the operation and the file
	}
	if info.IsDir() {
		return nil, fmt.Errorf("%s: is a folder", path)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // it names the operation and the file
	}
	return Decode(path, raw, into), nil
}

// Decode assigns the values of a file's text to the struct that into points to. All errors are in the Document. A text that is no TOML
// has one error, and leaves the struct as it was.
func Decode(file string, raw []byte, into any) *Document {
	d := &Document{file: file, lines: map[string]int{}}
	var values map[string]any
	if err := toml.Unmarshal(raw, &values); err != nil {
		d.errors = append(d.errors, syntaxError(file, err))
		return d
	}
	d.locateKeys(raw)
	d.assignTable("", values, reflect.ValueOf(into).Elem())
	return d
}

// syntaxError returns what go-toml says of a text that is no TOML.
func syntaxError(file string, err error) FieldError {
	e := FieldError{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		e.Line, _ = decode.Position()
		e.Key = strings.Join(decode.Key(), ".")
	}
	return e
}
