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
	// MaxBodySize is the largest body that the protocol permits, in bytes.
	MaxBodySize = 64 << 10
	// MaxNameLength bounds the value of each submission header and the order key, in bytes.
	MaxNameLength = 256
	// maxTimeout is the longest Request-Timeout that is accepted. No class has a deadline of more
	// than a day, so a longer timeout is a mistake of the client.
	maxTimeout = 24 * time.Hour
	// orderingCookie is the name of the cookie with the order key of a request in an ordered class.
	orderingCookie = "subject"
)

// destinationField matches the destination's number in the X-Envelope header.
var destinationField = regexp.MustCompile(`(?:^|[,;\s])dest=(\d{1,9})(?:$|[,;\s])`)

// Validator validates submissions against the settings.
type Validator struct {
	Classes map[string]*policy.Class
	Tenants map[string]bool // empty: any tenant is accepted
	// Subjects maps a class to the rule that extracts the subject of its requests for the
	// dead-letter store.
	Subjects map[string]*deadletter.Subject
}

// submissionHeaders contains the values of the headers that describe a submission.
type submissionHeaders struct{ tenant, id, idempotencyKey, envelope, timeout string }

// Parse validates the head of a request and returns its submission. The caller has to set the
// submission's Quiet function and, in its entry, the body and the subject.
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

// readHeaders reads the headers that describe a submission. A missing header gives an empty value.
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

// singleValue returns the value of a header that may occur once; empty if the header is missing. The
// value must be printable ASCII, since ids and keys are forwarded unchanged and are stored in the
// journal, whose JSON encoding would change other bytes.
func singleValue(h http.Header, name string) (string, *RejectionError) {
	reject := func(format string, args ...any) *RejectionError {
		return Reject(http.StatusBadRequest, RejectHeader, name+": "+format, args...)
	}
	values := h[name]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", reject("%d values, want one", len(values))
	case len(values[0]) > MaxNameLength:
		return "", reject("value too long")
	}
	for _, b := range []byte(values[0]) {
		if b < ' ' || b > '~' {
			return "", reject("value is not printable ASCII")
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
		return Reject(http.StatusBadRequest, RejectNoID, "missing Request-Id header")
	case headers.idempotencyKey == "" && class.Idempotency == policy.IdempotentByKey:
		return Reject(http.StatusBadRequest, RejectNoKey, "missing Idempotency-Key header: class is idempotent by key")
	}
	return nil
}

// parseDestination returns the destination's number from the value of the X-Envelope header.
func parseDestination(envelope string) (int, *RejectionError) {
	match := destinationField.FindStringSubmatch(envelope)
	if match == nil {
		return 0, Reject(http.StatusBadRequest, RejectNoDestination, "X-Envelope: no valid dest field")
	}
	number, err := strconv.Atoi(match[1])
	if err != nil {
		return 0, Reject(http.StatusBadRequest, RejectDestination, "X-Envelope: destination: %w", err)
	}
	return number, nil
}

// parseTimeout returns the timeout of a request, at most the deadline of its class. The value of the
// Request-Timeout header is in seconds and starts when the client sends the request.
func parseTimeout(text string, class *policy.Class) (time.Duration, *RejectionError) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
		return 0, Reject(http.StatusBadRequest, RejectTimeout, "invalid Request-Timeout %q", text)
	}
	return settings.Seconds(min(seconds, class.Deadline.Seconds())), nil
}

// orderKeyOf returns the order key of a request in an ordered class; requests with the same key are
// delivered one after another. If the key is empty, the request need not be delivered in order.
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
	case len(found) > 1: // it is ambiguous which of the values is the order key
		return "", reject("%d values, want one", len(found))
	case len(found[0].Value) > MaxNameLength:
		return "", reject("value too long")
	default:
		return found[0].Value, nil
	}
}

// clientRetry returns the value of the Client-Retry header. A malformed value counts as missing and
// does not reject the request, since the header is only written to the trace.
func clientRetry(h http.Header) string {
	retry, rejection := singleValue(h, "Client-Retry")
	if rejection != nil {
		return ""
	}
	return retry
}

// SubjectHeader returns the header fields from which the subject of a request is read; nil: there are none. The rest of the header
// need not be held until the body is read.
func (v *Validator) SubjectHeader(class string, h http.Header) http.Header {
	subject := v.Subjects[class]
	if subject == nil {
		return nil
	}
	return subject.HeaderFields(h)
}

// ReadSubject sets the subject and the order of a request in its entry. A request whose subject
// cannot be read is served like any other, but as long as it may have been delivered, no older
// request of its class and destination is redelivered.
func (v *Validator) ReadSubject(e *journal.Entry, h http.Header) {
	subject := v.Subjects[e.Class]
	if subject == nil {
		return
	}
	name, order, err := subject.Read(h, e.Body)
	if err != nil {
		slog.Debug("cannot read subject of request", logkey.RequestID, e.ID, logkey.Err, err)
	}
	e.Subject, e.Order = name, &order
}
