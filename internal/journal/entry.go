package journal

import (
	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/notification"
)

// Entry is a request that was accepted and is not completed. Fields with the tag json:"-" are set from
// the body of the record and from later records.
type Entry struct {
	ID          string `json:"id"`
	Class       string `json:"class,omitempty"`
	Destination int    `json:"dest,omitempty"`
	// Tenant and AcceptedAt are set where a dead-letter store is configured.
	Tenant     string        `json:"tenant,omitempty"`
	AcceptedAt clock.Instant `json:"taken,omitzero"`
	// Redelivery is set if the request comes from the dead-letter store. Its outcome is reported to the
	// store instead of the platform.
	Redelivery bool `json:"resend,omitempty"`
	// EarlierAttempts are the attempts of a redelivered message under its earlier ids, the oldest first. They are not stored: a
	// later process that finds a redelivery without an attempt returns it to the dead-letter store.
	EarlierAttempts []Attempt `json:"-"`
	IdempotencyKey  string    `json:"key,omitempty"`
	// OrderKey is the order key of a request of an ordered class: requests with the same key are sent one
	// after the other. It is empty if the request is unordered or was accepted by an earlier version of
	// the program.
	OrderKey string        `json:"item,omitempty"`
	Deadline clock.Instant `json:"expires,omitzero"`
	// TermsNumber identifies, in this journal, the settings of the request's class at acceptance. 0 means
	// that an earlier version of the program accepted the request; the current settings apply to it.
	TermsNumber int    `json:"terms,omitempty"`
	Body        []byte `json:"-"`
	// Attempts are sorted by the time at which they started.
	Attempts []Attempt `json:"-"`
	// Subject and Order are set in classes for which the operator configures where a message contains its
	// subject.
	Subject string            `json:"subject,omitempty"`
	Order   *deadletter.Order `json:"order,omitempty"`
	// Delivered is set if the request was delivered and the dead-letter store has not been notified yet, or if the response that
	// confirms the delivery may belong to an earlier request on its connection. The store needs the notification so that it
	// redelivers no older message of the subject.
	Delivered bool `json:"-"`
	// PendingNotice contains the terminal outcome; it is nil before the outcome is decided. The entry is
	// open until the platform has acknowledged the notice or, for a redelivery, the dead-letter store has
	// recorded the outcome.
	PendingNotice *notification.Notice `json:"-"`
	// Reason is the reason of the terminal outcome, CompletedAt the time at which it was decided. Both are
	// set where a dead-letter store is configured.
	Reason      string        `json:"-"`
	CompletedAt clock.Instant `json:"-"`
}

// Attempt is one call to an endpoint.
type Attempt struct {
	Endpoint    string
	StartedAt   clock.Instant
	Ended       bool
	NotExecuted bool // it is proved that the endpoint did not execute the attempt
	// EndedAt and Outcome are set where a dead-letter store is configured.
	EndedAt clock.Instant
	Outcome string
}

// Health records for later processes that an endpoint became unhealthy, or that it recovered, at a time.
type Health struct {
	Unhealthy bool          `json:"sick,omitempty"`
	At        clock.Instant `json:"at,omitzero"`
}
