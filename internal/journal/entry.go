package journal

import (
	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/notification"
)

// Entry is a request that was accepted and is not completed. Fields without a JSON form follow from
// later records.
type Entry struct {
	ID          string `json:"id"`
	Class       string `json:"class,omitempty"`
	Destination int    `json:"dest,omitempty"`
	// Tenant and AcceptedAt are set where a dead-letter store is configured.
	Tenant     string        `json:"tenant,omitempty"`
	AcceptedAt clock.Instant `json:"taken,omitzero"`
	// Redelivery: it comes from the dead-letter store, which gets its outcome in place of the platform.
	Redelivery     bool   `json:"resend,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	// OrderKey orders the requests of an ordered class: those with the same key are sent one after the
	// other. Empty: it is unordered, or was accepted by an earlier program.
	OrderKey string        `json:"item,omitempty"`
	Deadline clock.Instant `json:"expires,omitzero"`
	// TermsNumber is the number, in this journal, of the terms of its class at acceptance. 0: it was
	// accepted by an earlier program, and follows the current settings.
	TermsNumber int    `json:"terms,omitempty"`
	Body        []byte `json:"-"`
	// Attempts are in the order in which they started.
	Attempts []Attempt `json:"-"`
	// Subject and Order are set in classes for which the operator configures where the subject stands.
	Subject string            `json:"subject,omitempty"`
	Order   *deadletter.Order `json:"order,omitempty"`
	// Delivered: the dead-letter store is still to be notified, so that nothing older of the subject is
	// redelivered.
	Delivered bool `json:"-"`
	// PendingNotice is its terminal outcome, until the platform has acknowledged it.
	PendingNotice *notification.Notice `json:"-"`
	// Reason of that outcome, and CompletedAt, when it was decided, are set where a dead-letter store is
	// configured.
	Reason      string        `json:"-"`
	CompletedAt clock.Instant `json:"-"`
}

// Attempt is one call to an endpoint.
type Attempt struct {
	Endpoint    string
	StartedAt   clock.Instant
	Ended       bool
	NotExecuted bool // proved: the endpoint did not execute it
	// EndedAt and Outcome are set where a dead-letter store is configured.
	EndedAt clock.Instant
	Outcome string
}

// Health is what later processes have to know of an endpoint's outage.
type Health struct {
	Unhealthy bool          `json:"sick,omitempty"`
	At        clock.Instant `json:"at,omitzero"`
}
