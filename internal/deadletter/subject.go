package deadletter

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"unicode/utf8"
)

const (
	// maxSubject limits the size of a subject, in bytes, because the journal stores the subject of each message.
	maxSubject = 256
	// maxNumber limits the text of a number, in bytes. maxExponent limits its exponent, because a short text such as
	// 1e999999999 takes very long to compute.
	maxNumber, maxExponent = 64, 30
	// maxDepth limits how deeply a body may be nested, because each level is one recursive call.
	maxDepth = 64
	// partsPerWhole is the number of units of Order.Part in one unit of Order.Whole.
	partsPerWhole = 1_000_000_000_000_000_000
)

// Topic identifies messages that supersede one another: messages of the same class and subject to the same destination. The
// subject is empty if it can't be read.
type Topic struct {
	Class       string
	Destination int
	Subject     string
}

// Read returns the subject of a message and its order. It leaves Order.Arrival unset.
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
		// Different subjects could become equal when invalid bytes are replaced.
		return "", order, errors.New("subject: not valid UTF-8")
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

// HeaderFields returns the part of a header that Read uses. A value that is too long for Read is truncated to a length that is too
// long as well.
func (s *Subject) HeaderFields(header http.Header) http.Header {
	fields := http.Header{}
	for _, name := range []string{s.Header, s.OrderHeader} {
		if name == "" || fields.Values(name) != nil {
			continue
		}
		for _, value := range header.Values(name)[:min(2, len(header.Values(name)))] { // two are as wrong as more
			fields.Add(name, strings.Clone(value[:min(len(value), maxSubject+1)]))
		}
	}
	return fields
}

// valueOf returns the value in the body to which a JSON pointer refers. If no pointer is set, it returns the value of a
// header, which must have exactly one.
func valueOf(header http.Header, name, pointer string, body []byte) (value string, err error) {
	if pointer != "" {
		return resolvePointer(body, pointer)
	}
	values := header.Values(name)
	if len(values) != 1 {
		return "", fmt.Errorf("header %s: %d values, want one", name, len(values))
	}
	return values[0], nil
}
