// Package frontend has the terms in which clients hand messages in, and the check of what they hand in, whatever their
// protocol.
package frontend

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/settings"
	"frostlink/policy"
)

const (
	// MaxBodySize is the protocol's bound on a body.
	MaxBodySize = 64 << 10
	// maxTimeout bounds what is taken for a time-out: no class keeps a message for a day, and a client that
	// says more does not mean it.
	maxTimeout = 24 * time.Hour
	// MaxNameLength bounds an id or a key that a client sends.
	MaxNameLength = 256
	// itemCookie is the cookie that holds the key of a message whose class keeps its order.
	itemCookie = "subject"
)

// envelope finds the destination in the X-Envelope header.
var envelope = regexp.MustCompile(`(?:^|[,;\s])dest=(\d{1,9})(?:$|[,;\s])`)

// Submission is a message that a client hands in.
type Submission struct {
	Entry      *journal.Entry // without the times, which are the relay's timeline's
	ReceivedAt time.Time      // read by this process
	TimeLeft   time.Duration  // from Came on, until its time is up
	Response   chan Response  // room for one
	// Retry is what the client says of an earlier hand-in; empty: nothing. It is for the trace.
	Retry string
	// Quiet tells whether the client has sent nothing more and is still there.
	Quiet func() (quiet, there bool)
}

// Response is the answer to a message that was handed in.
type Response struct {
	Status     int           // 0 where nobody waits for it
	RetryAfter time.Duration // when to come again
	Close      bool          // the connection takes no further request
}

// RejectMalformed is the answer to a request that breaks the protocol. What comes after it on its connection can't
// be told from a part of it, so that it is the last.
func RejectMalformed(status int) Response { return Response{Status: status, Close: true} }

// Validator checks messages as they are handed in.
type Validator struct {
	Classes map[string]*policy.Class
	Tenants map[string]bool // none: any
	// Subjects say what messages of a class are about, where undelivered ones are kept.
	Subjects map[string]*deadletter.Subject
}

// one gives a header's only value. It has to be printable ASCII, as ids and keys go on unchanged and through
// the journal, whose JSON would change others.
func one(h http.Header, name string) (string, error) {
	values := h[name]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", fmt.Errorf("%s: %d values", name, len(values))
	case len(values[0]) > MaxNameLength:
		return "", fmt.Errorf("%s: too long", name)
	}
	for _, b := range []byte(values[0]) {
		if b < ' ' || b > '~' {
			return "", fmt.Errorf("%s: not printable", name)
		}
	}
	return values[0], nil
}

// Parse checks what a request says of its message.
func (c *Validator) Parse(r *http.Request) (*Submission, int, error) {
	now := time.Now()
	if r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s", r.Method)
	}
	name := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")[0]
	class := c.Classes[name]
	if class == nil {
		return nil, http.StatusNotFound, fmt.Errorf("unknown class %q", name)
	}
	value := map[string]string{}
	for _, name := range []string{"Tenant", "Request-Id", "Idempotency-Key", "X-Envelope", "Request-Timeout"} {
		v, err := one(r.Header, name)
		if err != nil {
			return nil, http.StatusBadRequest, err
		}
		value[name] = v
	}
	id, key := value["Request-Id"], value["Idempotency-Key"]
	switch {
	case len(c.Tenants) > 0 && !c.Tenants[value["Tenant"]]:
		return nil, http.StatusBadRequest, fmt.Errorf("unknown tenant %q", value["Tenant"])
	case id == "":
		return nil, http.StatusBadRequest, errors.New("no id")
	case key == "" && class.Idempotency == policy.IdempotentByKey:
		return nil, http.StatusBadRequest, errors.New("no key in a keyed class")
	}
	dest := envelope.FindStringSubmatch(value["X-Envelope"])
	if dest == nil {
		return nil, http.StatusBadRequest, errors.New("no destination")
	}
	no, err := strconv.Atoi(dest[1])
	if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("destination: %w", err)
	}
	left, err := strconv.ParseFloat(value["Request-Timeout"], 64)
	if err != nil || !(left > 0 && left <= maxTimeout.Seconds()) {
		return nil, http.StatusBadRequest, fmt.Errorf("time-out %q", value["Request-Timeout"])
	}
	item, err := itemOf(r, class)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	retry, err := one(r.Header, "Client-Retry")
	if err != nil {
		retry = "" // it is for the trace, and turns nobody away
	}
	// The client counts from when it sent; no class gives a message more than its deadline.
	whole := settings.Seconds(min(left, class.Deadline.Seconds()))
	return &Submission{ReceivedAt: now, TimeLeft: whole, Response: make(chan Response, 1), Retry: retry, Entry: &journal.Entry{
		ID: id, Class: name, Destination: no, IdempotencyKey: key, OrderKey: item,
		Tenant: value["Tenant"],
	}}, 0, nil
}

// itemOf gives what a message of a class in order is about: messages with one item take turns. Empty: it is free of order.
func itemOf(r *http.Request, class *policy.Class) (string, error) {
	if !class.Ordered {
		return "", nil
	}
	switch found := r.CookiesNamed(itemCookie); {
	case len(found) == 0:
		return "", nil
	case len(found) > 1: // which one it takes turns by can't be told
		return "", fmt.Errorf("cookie %s: %d values", itemCookie, len(found))
	case len(found[0].Value) > MaxNameLength:
		return "", fmt.Errorf("cookie %s: too long", itemCookie)
	default:
		return found[0].Value, nil
	}
}

// ReadSubject reads what a message is about. One of which that can't be told is served as any other; while it may have been
// delivered, no older one of its class and partner is resent.
func (c *Validator) ReadSubject(e *journal.Entry, h http.Header) {
	subject := c.Subjects[e.Class]
	if subject == nil {
		return
	}
	name, order, err := subject.Read(h, e.Body)
	if err != nil {
		slog.Debug("what a message is about can't be read", "id", e.ID, "err", err)
	}
	e.Subject, e.Order = name, &order
}
