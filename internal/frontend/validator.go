package frontend

import (
	"log/slog"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/logkey"
	"frostlink/internal/settings"
	"frostlink/policy"
)

const (
	// MaxBodySize is the protocol's bound on a body, in bytes.
	MaxBodySize = 64 << 10
	// MaxNameLength bounds an id or a key that a client sends, in bytes.
	MaxNameLength = 256
	// maxTimeout is the longest timeout that is accepted: no class gives a request a day, and a
	// client that asks for more has a fault.
	maxTimeout = 24 * time.Hour
	// orderingCookie is the cookie with the ordering key of a request whose class is ordered.
	orderingCookie = "subject"
)

// destinationField finds the destination in the X-Envelope header.
var destinationField = regexp.MustCompile(`(?:^|[,;\s])dest=(\d{1,9})(?:$|[,;\s])`)

// Validator validates submissions by the settings.
type Validator struct {
	Classes map[string]*policy.Class
	Tenants map[string]bool // none: any tenant is accepted
	// Subjects extract the subject of a class's requests, for the dead-letter store.
	Subjects map[string]*deadletter.Subject
}

// submissionHeaders are the headers that describe a submission.
type submissionHeaders struct{ tenant, id, idempotencyKey, envelope, timeout string }

// Parse validates the head of a request and returns its submission, which lacks the body and what
// comes with it.
func (v *Validator) Parse(r *http.Request) (*Submission, *RejectionError) {
	receivedAt := time.Now()
	if r.Method != http.MethodPost {
		return nil, Reject(http.StatusMethodNotAllowed, RejectMethod, "method %s", r.Method)
	}
	className := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")[0]
	class := v.Classes[className]
	if class == nil {
		return nil, Reject(http.StatusNotFound, RejectUnknownClass, "unknown class %q", className)
	}
	headers, rejection := readHeaders(r.Header)
	if rejection == nil {
		rejection = v.checkHeaders(headers, class)
	}
	if rejection != nil {
		return nil, rejection
	}
	destination, rejection := parseDestination(headers.envelope)
	if rejection != nil {
		return nil, rejection
	}
	timeLeft, rejection := parseTimeout(headers.timeout, class)
	if rejection != nil {
		return nil, rejection
	}
	orderKey, rejection := orderKeyOf(r, class)
	if rejection != nil {
		return nil, rejection
	}
	return &Submission{
		ReceivedAt: receivedAt, TimeLeft: timeLeft, Response: make(chan Response, 1), ClientRetry: clientRetry(r.Header),
		Entry: &journal.Entry{
			ID: headers.id, Class: className, Destination: destination, IdempotencyKey: headers.idempotencyKey,
			OrderKey: orderKey, Tenant: headers.tenant,
		},
	}, nil
}

// readHeaders reads the headers that describe a submission; those that are missing are empty.
func readHeaders(h http.Header) (headers submissionHeaders, rejection *RejectionError) {
	for _, field := range []struct {
		name string
		into *string
	}{
		{"Tenant", &headers.tenant},
		{"Request-Id", &headers.id},
		{"Idempotency-Key", &headers.idempotencyKey},
		{"X-Envelope", &headers.envelope},
		{"Request-Timeout", &headers.timeout},
	} {
		if *field.into, rejection = singleValue(h, field.name); rejection != nil {
			return headers, rejection
		}
	}
	return headers, nil
}

// singleValue returns the only value of a header; empty if there is none. The value has to be
// printable ASCII, as ids and keys are forwarded unchanged and go through the journal, whose JSON
// would change other characters.
func singleValue(h http.Header, name string) (string, *RejectionError) {
	reject := func(format string, args ...any) *RejectionError {
		return Reject(http.StatusBadRequest, RejectHeader, name+": "+format, args...)
	}
	values := h[name]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", reject("%d values", len(values))
	case len(values[0]) > MaxNameLength:
		return "", reject("too long")
	}
	for _, b := range []byte(values[0]) {
		if b < ' ' || b > '~' {
			return "", reject("not printable")
		}
	}
	return values[0], nil
}

// checkHeaders checks the tenant, the id and the idempotency key.
func (v *Validator) checkHeaders(headers submissionHeaders, class *policy.Class) *RejectionError {
	switch {
	case len(v.Tenants) > 0 && !v.Tenants[headers.tenant]:
		return Reject(http.StatusBadRequest, RejectUnknownTenant, "unknown tenant %q", headers.tenant)
	case headers.id == "":
		return Reject(http.StatusBadRequest, RejectNoID, "no id")
	case headers.idempotencyKey == "" && class.Idempotency == policy.IdempotentByKey:
		return Reject(http.StatusBadRequest, RejectNoKey, "no key in a keyed class")
	}
	return nil
}

// parseDestination returns the destination's number in the value of X-Envelope.
func parseDestination(envelope string) (int, *RejectionError) {
	match := destinationField.FindStringSubmatch(envelope)
	if match == nil {
		return 0, Reject(http.StatusBadRequest, RejectNoDestination, "no destination")
	}
	number, err := strconv.Atoi(match[1])
	if err != nil {
		return 0, Reject(http.StatusBadRequest, RejectDestination, "destination: %w", err)
	}
	return number, nil
}

// parseTimeout returns the time that a client gives a request, from when it sent it, in the value
// of Request-Timeout. No class gives a request more than its deadline.
func parseTimeout(text string, class *policy.Class) (time.Duration, *RejectionError) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
		return 0, Reject(http.StatusBadRequest, RejectTimeout, "time-out %q", text)
	}
	return settings.Seconds(min(seconds, class.Deadline.Seconds())), nil
}

// orderKeyOf returns the ordering key of a request whose class is ordered: requests with one key
// are delivered one after another. Empty: the request is free of order.
func orderKeyOf(r *http.Request, class *policy.Class) (string, *RejectionError) {
	if !class.Ordered {
		return "", nil
	}
	reject := func(format string, args ...any) *RejectionError {
		return Reject(http.StatusBadRequest, RejectOrderingCookie, "cookie "+orderingCookie+": "+format, args...)
	}
	switch found := r.CookiesNamed(orderingCookie); {
	case len(found) == 0:
		return "", nil
	case len(found) > 1: // it is ambiguous by which one it is ordered
		return "", reject("%d values", len(found))
	case len(found[0].Value) > MaxNameLength:
		return "", reject("too long")
	default:
		return found[0].Value, nil
	}
}

// clientRetry returns what a client says of an earlier submission. It is for the trace alone, so
// that a malformed value rejects nothing.
func clientRetry(h http.Header) string {
	retry, rejection := singleValue(h, "Client-Retry")
	if rejection != nil {
		return ""
	}
	return retry
}

// ReadSubject sets the subject of a request in its entry. A request whose subject cannot be read is
// served as any other. While it may have been delivered, no older request of its class and
// destination is redelivered.
func (v *Validator) ReadSubject(e *journal.Entry, h http.Header) {
	subject := v.Subjects[e.Class]
	if subject == nil {
		return
	}
	name, order, err := subject.Read(h, e.Body)
	if err != nil {
		slog.Debug("subject not readable", logkey.RequestID, e.ID, logkey.Err, err)
	}
	e.Subject, e.Order = name, &order
}
