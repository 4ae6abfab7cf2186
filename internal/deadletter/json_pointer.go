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

// pointerTokens are the names that a pointer goes through (RFC 6901, sections 3 and 4).
func pointerTokens(pointer string) ([]string, error) {
	if !strings.HasPrefix(pointer, "/") {
		return nil, fmt.Errorf("%q is no JSON pointer: it begins with a slash", pointer)
	}
	names := strings.Split(pointer[1:], "/")
	for i, name := range names {
		if rest := strings.NewReplacer("~0", "", "~1", "").Replace(name); strings.Contains(rest, "~") {
			return nil, fmt.Errorf("%q is no JSON pointer: a ~ is written ~0, a slash in a name ~1", pointer)
		}
		names[i] = strings.ReplaceAll(strings.ReplaceAll(name, "~1", "/"), "~0", "~")
	}
	return names, nil
}

// resolvePointer gives the string or number that a JSON pointer leads to (RFC 6901). It is written by hand on the standard
// decoder's tokens: what works on decoded values takes the last of two members of one name, where a partner may take
// the first, and turns numbers into floats.
func resolvePointer(body []byte, pointer string) (v string, err error) {
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
		return "", fmt.Errorf("%s: more behind the JSON text", pointer)
	}
	switch f := found.(type) {
	case string:
		return f, nil
	case json.Number:
		return f.String(), nil
	case nil:
		return "", fmt.Errorf("%s: not there", pointer)
	}
	return "", fmt.Errorf("%s: neither a string nor a number", pointer)
}

// resolveIn reads one value and gives what a pointer's names lead to in it: nil where nothing does, and a json.Delim
// where that is an object or an array. deep is how many levels are left.
func resolveIn(d *json.Decoder, names []string, deep int) (found any, err error) {
	if deep == 0 {
		return nil, errors.New("nested too deep")
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	open, ok := t.(json.Delim)
	switch {
	case !ok && len(names) == 0:
		return t, nil
	case !ok:
		return nil, nil
	case len(names) == 0:
		found = open
	}
	seen := map[string]bool{}
	for i := 0; d.More(); i++ {
		name := strconv.Itoa(i) // of an array; "-" and leading zeros name no element
		if open == '{' {
			if t, err = d.Token(); err != nil {
				return nil, err
			}
			name = t.(string) // an object's members are named by strings
			if seen[name] {
				// Guards against a body that two readers understand differently.
				return nil, fmt.Errorf("%q is there twice", name)
			}
			if len(names) > 0 {
				seen[name] = true
			}
		}
		var rest []string
		on := len(names) > 0 && name == names[0]
		if on {
			rest = names[1:]
		}
		inner, err := resolveIn(d, rest, deep-1)
		if err != nil {
			return nil, err
		}
		if on {
			found = inner
		}
	}
	_, err = d.Token() // the end
	return found, err
}
