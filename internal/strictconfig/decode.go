package strictconfig

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes is the maximum size of a file. Files written by people are far smaller, and a wrong path may name a file of any size.
const maxFileBytes = 4 << 20

// ReadFile reads a file and decodes it as Decode does. It returns an error only if the file can't be read; errors in the file's content
// are in the Document.
func ReadFile(path string, into any) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names the operation and the file
	}
	if info.IsDir() {
		return nil, fmt.Errorf("%s: is a directory", path)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: file has %d bytes, the maximum is %d", path, info.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names the operation and the file
	}
	return Decode(path, raw, into), nil
}

// Decode parses a file's text and assigns its values to the struct that into points to. All errors are in the Document. If the text is
// not valid TOML, the Document has one error and the struct is unchanged.
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

// syntaxError converts go-toml's error for a text that is not valid TOML, with its line and key if go-toml gives them.
func syntaxError(file string, err error) FieldError {
	e := FieldError{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		e.Line, _ = decode.Position()
		e.Key = strings.Join(decode.Key(), ".")
	}
	return e
}
