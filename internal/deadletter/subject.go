package deadletter

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
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

// Topic is what a message is about, of its class and destination: each destination keeps a status of its own. A message whose
// subject can't be read has the empty one.
type Topic struct {
	Class       string
	Destination int
	Subject     string
}

// Read finds out what a message is about, and its place in the order but for its arrival. The error says why
// that is not known.
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
