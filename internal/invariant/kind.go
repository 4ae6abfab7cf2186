package invariant

// Kind identifies the invariant that is violated.
type Kind int

// The kinds of violation.
const (
	// SendAfterCompletion: an attempt was to be sent after the request's terminal outcome was decided, or after a response that forbids
	// further attempts.
	SendAfterCompletion Kind = iota
	// SendAfterDeadline: an attempt was to be sent after the request's deadline.
	SendAfterDeadline
	// SendUnrecorded: an attempt was to be sent before its journal record was durable.
	SendUnrecorded
	// SecondAttempt: an attempt was to be sent while another attempt of the request was in flight.
	SecondAttempt
	// NonIdempotentRepeat: a non-idempotent request was to be sent again after an attempt that may have
	// been executed.
	NonIdempotentRepeat
	// ExpiredKeyRepeat: a request with an idempotency key was to be sent again after an attempt that may
	// have been executed, when the destination may no longer remember the key.
	ExpiredKeyRepeat
	// CompletedTwice: a second terminal outcome was decided for a request.
	CompletedTwice
	// CompletionOverdue: no terminal outcome of a request was decided within completionSlack after its
	// deadline.
	CompletionOverdue
	// CompletionUnrecorded: the platform was to be notified of a terminal outcome before its journal record
	// was durable.
	CompletionUnrecorded
	// RecoveredAfterCompletion: a later process recovered a request that was completed.
	RecoveredAfterCompletion
	// ClosedUnanswered: a client's connection was closed after a request was read and before it was
	// answered.
	ClosedUnanswered
	// MixedClocks: a span was computed between readings of two different clocks.
	MixedClocks

	// kindCount is the number of kinds.
	kindCount
)

// kindNames are the names of the kinds in logs and metrics.
var kindNames = [kindCount]string{
	SendAfterCompletion:      "send_after_end",
	SendAfterDeadline:        "send_after_deadline",
	SendUnrecorded:           "send_unrecorded",
	SecondAttempt:            "second_attempt",
	NonIdempotentRepeat:      "unsafe_repeat",
	ExpiredKeyRepeat:         "expired_key_repeat",
	CompletedTwice:           "end_twice",
	CompletionOverdue:        "end_overdue",
	CompletionUnrecorded:     "end_unrecorded",
	RecoveredAfterCompletion: "resumed_after_end",
	ClosedUnanswered:         "closed_unanswered",
	MixedClocks:              "mixed_clocks",
}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }
