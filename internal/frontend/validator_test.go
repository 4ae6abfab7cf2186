package frontend

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"frostlink/policy"
)

func newTestValidator() *Validator {
	return &Validator{
		Classes: map[string]*policy.Class{
			"status":  {Name: "status", Deadline: 30 * time.Second},
			"fee":     {Name: "fee", Deadline: 30 * time.Second, Idempotency: policy.IdempotentByKey},
			"ordered": {Name: "ordered", Deadline: 30 * time.Second, Ordered: true},
		},
		Tenants: map[string]bool{"acme": true},
	}
}

// newRequest returns a valid request of a class after change has modified it.
func newRequest(t *testing.T, class string, change func(r *http.Request)) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/"+class, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"Tenant": "acme", "Request-Id": "m", "X-Envelope": "dest=7", "Request-Timeout": "5",
	} {
		r.Header.Set(name, value)
	}
	change(r)
	return r
}

// Each rejection has a status, a reason, and a message for logs.
func TestValidator_Rejects(t *testing.T) {
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for _, tt := range []struct {
		name    string
		class   string
		change  func(*http.Request)
		status  int
		reason  RejectionReason
		message string
	}{
		{"method", "status", func(r *http.Request) { r.Method = http.MethodPut }, 405, RejectMethod, "method PUT"},
		{"class", "news", func(*http.Request) {}, 404, RejectUnknownClass, `unknown class "news"`},
		{"two ids", "status", func(r *http.Request) { r.Header.Add("Request-Id", "n") }, 400, RejectHeader, "Request-Id: 2 values, want one"},
		{"long id", "status", set("Request-Id", strings.Repeat("m", MaxNameLength+1)), 400, RejectHeader, "Request-Id: value too long"},
		{"id not printable", "status", set("Request-Id", "m\xff"), 400, RejectHeader, "Request-Id: value is not printable ASCII"},
		{"tenant", "status", set("Tenant", "other"), 400, RejectUnknownTenant, `unknown tenant "other"`},
		{"no id", "status", set("Request-Id", ""), 400, RejectNoID, "missing Request-Id header"},
		{"no key", "fee", func(*http.Request) {}, 400, RejectNoKey, "missing Idempotency-Key header: class is idempotent by key"},
		{"no destination", "status", set("X-Envelope", "dest=x"), 400, RejectNoDestination, "X-Envelope: no valid dest field"},
		{"no timeout", "status", set("Request-Timeout", ""), 400, RejectTimeout, `invalid Request-Timeout ""`},
		{"timeout not a number", "status", set("Request-Timeout", "NaN"), 400, RejectTimeout, `invalid Request-Timeout "NaN"`},
		{"timeout of 0", "status", set("Request-Timeout", "0"), 400, RejectTimeout, `invalid Request-Timeout "0"`},
		{"timeout over a day", "status", set("Request-Timeout", "86401"), 400, RejectTimeout, `invalid Request-Timeout "86401"`},
		{"two order keys", "ordered", set("Cookie", "subject=a; subject=b"), 400, RejectOrderingCookie, "cookie subject: 2 values, want one"},
		{
			"long order key", "ordered", set("Cookie", "subject="+strings.Repeat("a", MaxNameLength+1)),
			400, RejectOrderingCookie, "cookie subject: value too long",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, rejection := newTestValidator().Parse(newRequest(t, tt.class, tt.change))
			if rejection == nil {
				t.Fatal("request accepted, want a rejection")
			}
			if rejection.Status != tt.status || rejection.Reason != tt.reason || rejection.Error() != tt.message {
				t.Errorf("status %d, reason %q, message %q", rejection.Status, rejection.Reason, rejection.Error())
			}
		})
	}
}

// The headers and the cookie of a valid request are copied to its submission and its entry.
func TestValidator_Accepts(t *testing.T) {
	s, rejection := newTestValidator().Parse(newRequest(t, "ordered", func(r *http.Request) {
		r.Header.Set("Idempotency-Key", "k")
		r.Header.Set("X-Envelope", "a=b, dest=12; c")
		r.Header.Set("Client-Retry", "2")
		r.Header.Set("Cookie", "subject=parcel-1")
	}))
	if rejection != nil {
		t.Fatal(rejection)
	}
	e := s.Entry
	if e.ID != "m" || e.Class != "ordered" || e.Destination != 12 || e.IdempotencyKey != "k" || e.OrderKey != "parcel-1" || e.Tenant != "acme" {
		t.Errorf("entry %+v", e)
	}
	if s.TimeLeft != 5*time.Second || s.ClientRetry != "2" || s.ReceivedAt.IsZero() || cap(s.Response) != 1 {
		t.Errorf("submission %+v", s)
	}
}

// The timeout is limited to the deadline of the class, and a malformed Client-Retry header does not
// reject the request.
func TestValidator_BoundsTimeAndIgnoresBadRetry(t *testing.T) {
	s, rejection := newTestValidator().Parse(newRequest(t, "status", func(r *http.Request) {
		r.Header.Set("Request-Timeout", "3600")
		r.Header.Set("Client-Retry", "\xff")
		r.Header.Set("Cookie", "subject=a; subject=b") // the class is not ordered
	}))
	if rejection != nil {
		t.Fatal(rejection)
	}
	if s.TimeLeft != 30*time.Second || s.ClientRetry != "" || s.Entry.OrderKey != "" {
		t.Errorf("time left %v, client retry %q, order key %q", s.TimeLeft, s.ClientRetry, s.Entry.OrderKey)
	}
}
