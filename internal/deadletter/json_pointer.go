package deadletter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// pointerTokens returns the unescaped reference tokens of a JSON pointer (RFC 6901, sections 3 and 4).
func pointerTokens(pointer string) ([]string, error) {
	if !strings.HasPrefix(pointer, "/") {
		return nil, fmt.Errorf("%q is not a JSON pointer: it must begin with a slash", pointer)
	}
	names := strings.Split(pointer[1:], "/")
	for i, name := range names {
		if rest := strings.NewReplacer("~0", "", "~1", "").Replace(name); strings.Contains(rest, "~") {
			return nil, fmt.Errorf("%q is not a JSON pointer: in a name, ~ must be written as ~0 and / as ~1", pointer)
		}
		names[i] = strings.ReplaceAll(strings.ReplaceAll(name, "~1", "/"), "~0", "~")
	}
	return names, nil
}

// resolvePointer returns the string or number that a JSON pointer refers to (RFC 6901). It reads the decoder's tokens
// because a decoded value would contain only the last of two members with the same name, while a destination may use the
// first, and because decoded numbers are floats.
func resolvePointer(body []byte, pointer string) (value string, err error) {
	names, err := pointerTokens(pointer)
	if err != nil {
		return "", err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	found, err := resolveIn(d, names, maxDepth)
	if err != nil {
		return "", fmt.Errorf("%s: %w", pointer, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("%s: data after the JSON text", pointer)
	}
	switch v := found.(type) {
	case string:
		return v, nil
	case json.Number:
		return v.String(), nil
	case nil:
		return "", fmt.Errorf("%s: the body has no such value", pointer)
	}
	return "", fmt.Errorf("%s: neither a string nor a number", pointer)
}

// resolveIn reads one value and returns the part of it to which a pointer's names refer: nil if there is no such part, and
// a json.Delim if the part is an object or an array. depth is the number of further levels of nesting that are allowed.
func resolveIn(d *json.Decoder, names []string, depth int) (found any, err error) {
	if depth == 0 {
		return nil, errors.New("nested too deeply")
	}
	token, err := nextToken(d)
	if err != nil {
		return nil, err
	}
	open, nested := token.(json.Delim)
	switch {
	case !nested && len(names) == 0:
		return token, nil
	case !nested:
		return nil, nil // the pointer refers to nothing
	case len(names) == 0:
		found = open
	}
	members := memberNames{isObject: open == '{', tracked: len(names) > 0, seen: map[string]bool{}}
	for d.More() {
		name, err := members.next(d)
		if err != nil {
			return nil, err
		}
		var rest []string
		matches := len(names) > 0 && name == names[0]
		if matches {
			rest = names[1:]
		}
		inner, err := resolveIn(d, rest, depth-1)
		if err != nil {
			return nil, err
		}
		if matches {
			found = inner
		}
	}
	_, err = nextToken(d) // the closing delimiter
	return found, err
}

// nextToken reads the next JSON token. Its errors wrap the errors of the decoder; a json.SyntaxError contains the offset in
// the text.
func nextToken(d *json.Decoder) (json.Token, error) {
	token, err := d.Token()
	if err != nil {
		return nil, fmt.Errorf("JSON: %w", err)
	}
	return token, nil
}

// memberNames returns the names of an object's members, or the indexes of an array's elements.
type memberNames struct {
	isObject bool
	tracked  bool // the pointer may refer to one of the members, so their names must not be repeated
	index    int
	seen     map[string]bool
}

// next reads the name of the next member. A repeated name is an error if names are tracked, because the relay and the
// destination could use different members of that name.
func (m *memberNames) next(d *json.Decoder) (string, error) {
	if !m.isObject {
		m.index++
		return strconv.Itoa(m.index - 1), nil // so a pointer with "-" or an index with leading zeros refers to no element
	}
	token, err := nextToken(d)
	if err != nil {
		return "", err
	}
	name, ok := token.(string)
	if !ok {
		return "", fmt.Errorf("member name %v is not a string", token)
	}
	if m.seen[name] {
		return "", fmt.Errorf("member %q occurs twice", name)
	}
	if m.tracked {
		m.seen[name] = true
	}
	return name, nil
}
