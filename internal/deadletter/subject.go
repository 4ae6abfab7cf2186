package deadletter

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// maxSubject bounds a subject, in bytes: it is journalled with each message.
	maxSubject = 256
	// maxNumber bounds the text of a number, in bytes, and maxExponent its exponent: 1e999999999 is short to write, and
	// long to compute.
	maxNumber, maxExponent = 64, 30
	// maxDepth bounds how deep a body may be nested: each level is one of the reader's calls.
	maxDepth = 64
	// perWhole is how many parts a whole has in an Order.
	perWhole = 1_000_000_000_000_000_000
)

// Order is a message's place among those of its topic: a number or a time, exactly, or its arrival.
type Order struct {
	Whole int64 `json:"whole,omitempty"` // the number, or the seconds since 1970
	Part  int64 `json:"part,omitempty"`  // of a whole, in units of 1e-18, never below 0
	// Arrival decides where the rest is equal, as it is by arrival. It rises with each message that a relay takes on,
	// also where its clock is set back.
	Arrival int64 `json:"arrival,omitempty"`
}

// compare puts two orders in sequence.
func (o Order) compare(p Order) int {
	return cmp.Or(cmp.Compare(o.Whole, p.Whole), cmp.Compare(o.Part, p.Part), cmp.Compare(o.Arrival, p.Arrival))
}

// Topic is what a message is about, of its class and partner: each partner keeps a status of its own. A message whose
// subject can't be read has the empty one.
type Topic struct {
	Class   string
	Partner int
	Subject string
}

// Read finds out what a message is about, and its place in the order but for its arrival. The error says why
// that can't be told.
func (s *Subject) Read(h http.Header, body []byte) (subject string, o Order, err error) {
	value, err := valueOf(h, s.Header, s.Pointer, body)
	if err != nil {
		return "", o, fmt.Errorf("subject: %w", err)
	}
	switch subject = value; {
	case subject == "":
		return "", o, errors.New("subject: empty")
	case len(subject) > maxSubject:
		return "", o, fmt.Errorf("subject: %d bytes, more than %d", len(subject), maxSubject)
	case !utf8.ValidString(subject), strings.ContainsRune(subject, utf8.RuneError):
		// Guards against two subjects that read alike once their odd bytes were replaced.
		return "", o, errors.New("subject: not UTF-8")
	case s.Order == byArrival:
		return subject, o, nil
	}
	if value, err = valueOf(h, s.OrderHeader, s.OrderPointer, body); err != nil {
		return "", o, fmt.Errorf("order: %w", err)
	}
	if s.Order == byTime {
		o, err = timeOrder(value)
	} else {
		o, err = numberOrder(value)
	}
	if err != nil {
		return "", o, fmt.Errorf("order: %w", err)
	}
	return subject, o, nil
}

// timeOrder reads a time after RFC 3339.
func timeOrder(text string) (Order, error) {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Order{}, fmt.Errorf("%q is no time after RFC 3339", text)
	}
	return Order{Whole: t.Unix(), Part: int64(t.Nanosecond()) * (perWhole / int64(time.Second))}, nil
}

// numberOrder reads a decimal number exactly: as a float two long ones that differ would be equal.
func numberOrder(text string) (Order, error) {
	if len(text) > maxNumber {
		return Order{}, fmt.Errorf("a number of %d bytes", len(text))
	}
	if strings.ContainsAny(text, "/_xXpPbBoO") { // what big takes and no decimal number has
		return Order{}, fmt.Errorf("%q is no decimal number", text)
	}
	if i := strings.IndexAny(text, "eE"); i >= 0 {
		if e, err := strconv.Atoi(text[i+1:]); err != nil || e > maxExponent || e < -maxExponent {
			return Order{}, fmt.Errorf("%q is no decimal number", text)
		}
	}
	r, ok := new(big.Rat).SetString(text)
	if !ok {
		return Order{}, fmt.Errorf("%q is no decimal number", text)
	}
	whole := new(big.Int).Div(r.Num(), r.Denom()) // towards minus infinity: the part is never below 0
	part := new(big.Rat).Sub(r, new(big.Rat).SetInt(whole))
	part.Mul(part, new(big.Rat).SetInt64(perWhole))
	if !whole.IsInt64() || !part.IsInt() {
		return Order{}, fmt.Errorf("%q has more places than are told apart", text)
	}
	return Order{Whole: whole.Int64(), Part: part.Num().Int64()}, nil
}

// valueOf finds the one value that a header has, or that a pointer leads to.
func valueOf(h http.Header, header, pointer string, body []byte) (v string, err error) {
	if pointer != "" {
		return resolvePointer(body, pointer)
	}
	values := h.Values(header)
	if len(values) != 1 {
		return "", fmt.Errorf("header %s: %d values", header, len(values))
	}
	return values[0], nil
}

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
