package fleet

import (
	"cmp"
	"slices"
)

// ViolationKind says which of a message's terms was broken.
type ViolationKind string

// The kinds of violations.
const (
	// MissingOutcome: accepted, its deadline has passed, and its relay has run on without an outcome.
	MissingOutcome ViolationKind = "no end"
	// PossibleDuplicate: sent again though an earlier attempt may have been executed, and its class forbids that.
	PossibleDuplicate ViolationKind = "may have run twice"
	TwoOutcomes       ViolationKind = "two ends"
	// ConcurrentAttempts: sent while an earlier attempt was in flight.
	ConcurrentAttempts  ViolationKind = "two copies out"
	LateOutcome         ViolationKind = "late end"
	AttemptAfterOutcome ViolationKind = "sent after its end"
)

// bySeverity are the kinds, the worst first.
var bySeverity = []ViolationKind{
	MissingOutcome, PossibleDuplicate, TwoOutcomes, ConcurrentAttempts, LateOutcome, AttemptAfterOutcome,
}

func compareSeverity(a, b ViolationKind) int {
	return cmp.Compare(slices.Index(bySeverity, a), slices.Index(bySeverity, b))
}

// Violation is one term of a message that was broken at one relay.
type Violation struct {
	Kind   ViolationKind `json:"what"`
	At     float64       `json:"at"` // Unix time in milliseconds
	Relay  string        `json:"relay"`
	Detail string        `json:"text"`
}
