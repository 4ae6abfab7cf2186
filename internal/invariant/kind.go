package invariant

// Kind says which invariant is violated.
type Kind int

// The kinds of violation.
const (
	// SendAfterCompletion: an attempt of a request whose terminal outcome is decided.
	SendAfterCompletion Kind = iota
	// SendAfterDeadline: an attempt of a request whose deadline has passed.
	SendAfterDeadline
	// SendUnrecorded: an attempt whose record a later process would not find.
	SendUnrecorded
	// SecondAttempt: an attempt while another of the request is in flight.
	SecondAttempt
	// NonIdempotentRepeat: an attempt of a non-idempotent request after one that may have executed.
	NonIdempotentRepeat
	// ExpiredKeyRepeat: an attempt of a request with an idempotency key after one that may have executed,
	// when the destination may have forgotten the key.
	ExpiredKeyRepeat
	// CompletedTwice: a second terminal outcome.
	CompletedTwice
	// CompletionOverdue: no terminal outcome in time.
	CompletionOverdue
	// CompletionUnrecorded: a terminal outcome of which the platform was notified before a later process
	// would find its record.
	CompletionUnrecorded
	// RecoveredAfterCompletion: a request that a later process recovers though it was completed.
	RecoveredAfterCompletion
	// ClosedUnanswered: a client's connection closed with a request that was read and not answered.
	ClosedUnanswered
	// MixedClocks: a span between readings of two clocks.
	MixedClocks

	// kindCount is how many kinds there are.
	kindCount
)

// kindNames are the names in logs and metrics.
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

func (k Kind) String() string { return kindNames[k] }
