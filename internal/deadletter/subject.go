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
	// maxDepth bounds how deep a body may be nested: each level is one recursive call.
	maxDepth = 64
	// perWhole is how many units of Order.Part make one of Order.Whole.
	perWhole = 1_000_000_000_000_000_000
)

// Topic identifies the messages that supersede one another: those of one class and subject to one destination. A message
// whose subject can't be read has the empty one.
type Topic struct {
	Class       string
	Destination int
	Subject     string
}

// Read returns the subject of a message and its order, without its arrival. The error says why they can't be read.
func (s *Subject) Read(header http.Header, body []byte) (subject string, order Order, err error) {
	value, err := valueOf(header, s.Header, s.Pointer, body)
	if err != nil {
		return "", order, fmt.Errorf("subject: %w", err)
	}
	switch subject = value; {
	case subject == "":
		return "", order, errors.New("subject: empty")
	case len(subject) > maxSubject:
		return "", order, fmt.Errorf("subject: %d bytes, more than %d", len(subject), maxSubject)
	case !utf8.ValidString(subject), strings.ContainsRune(subject, utf8.RuneError):
		// Guards against two subjects that become equal once their invalid bytes are replaced.
		return "", order, errors.New("subject: not UTF-8")
	case s.Order == byArrival:
		return subject, order, nil
	}
	if value, err = valueOf(header, s.OrderHeader, s.OrderPointer, body); err != nil {
		return "", order, fmt.Errorf("order: %w", err)
	}
	if s.Order == byTime {
		order, err = timeOrder(value)
	} else {
		order, err = numberOrder(value)
	}
	if err != nil {
		return "", order, fmt.Errorf("order: %w", err)
	}
	return subject, order, nil
}

// valueOf returns the value to which a pointer refers in the body, or where none is set the one value of a header.
func valueOf(header http.Header, name, pointer string, body []byte) (value string, err error) {
	if pointer != "" {
		return resolvePointer(body, pointer)
	}
	values := header.Values(name)
	if len(values) != 1 {
		return "", fmt.Errorf("header %s: %d values", name, len(values))
	}
	return values[0], nil
}
