package fleet

import (
	"cmp"
	"slices"
)

// ViolationKind says which of a message's terms was broken.
type ViolationKind string

// The kinds of violations.
const (
	// MissingOutcome: the message was accepted and its deadline has passed, but its relay, which kept running, has logged no
	// outcome.
	MissingOutcome ViolationKind = "no end"
	// PossibleDuplicate: the message was sent again although an earlier attempt may have been executed, and its class forbids
	// a second execution.
	PossibleDuplicate ViolationKind = "may have run twice"
	TwoOutcomes       ViolationKind = "two ends"
	// ConcurrentAttempts: an attempt was sent while an earlier one was in flight.
	ConcurrentAttempts  ViolationKind = "two copies out"
	LateOutcome         ViolationKind = "late end"
	AttemptAfterOutcome ViolationKind = "sent after its end"
)

// bySeverity lists the kinds, the worst first.
var bySeverity = []ViolationKind{
	MissingOutcome, PossibleDuplicate, TwoOutcomes, ConcurrentAttempts, LateOutcome, AttemptAfterOutcome,
}

func compareSeverity(a, b ViolationKind) int {
	return cmp.Compare(slices.Index(bySeverity, a), slices.Index(bySeverity, b))
}

// Violation is the violation of one of a message's terms at one relay.
type Violation struct {
	Kind   ViolationKind `json:"what"`
	At     float64       `json:"at"` // Unix time in milliseconds
	Relay  string        `json:"relay"`
	Detail string        `json:"text"`
}
