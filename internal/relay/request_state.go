package relay

import (
	"log/slog"
	"slices"

	"frostlink/internal/logkey"
)

// requestState says how far a request has come.
type requestState uint8

// The states. The documentation of the package says what leads from one to another.
const (
	stateCandidate      requestState = iota // submitted, or offered for redelivery, in this batch: in no journal yet
	stateAccepted                           // in the journal, its terminal outcome is open
	stateOutcomeDecided                     // its terminal outcome is in the journal, and owed to somebody
	stateNotified                           // the platform has the outcome, the dead-letter store does not
	stateEvicted                            // nothing more is owed for it
)

// stateTransitions are the transitions that may happen.
var stateTransitions = map[requestState][]requestState{
	stateCandidate:      {stateAccepted, stateEvicted},
	stateAccepted:       {stateOutcomeDecided, stateEvicted},
	stateOutcomeDecided: {stateNotified, stateEvicted},
	stateNotified:       {stateEvicted},
	stateEvicted:        nil,
}

func (s requestState) String() string {
	return [...]string{"candidate", "accepted", "outcome decided", "notified", "evicted"}[s]
}

// canBecome reports whether the table has a transition to a state. To stay in a state is none.
func (s requestState) canBecome(next requestState) bool {
	return s == next || slices.Contains(stateTransitions[s], next)
}

// unexpectedTransition is the log message for a transition that the table does not have.
const unexpectedTransition = "unexpected request state transition"

// transition takes a request to a state. A transition that the table does not have is logged and made all the same: what
// it stands for has happened, and the process goes on serving the other requests.
func (r *request) transition(next requestState) {
	if !r.state.canBecome(next) {
		slog.Error(unexpectedTransition, logkey.RequestID, r.ID, logkey.From, r.state.String(), logkey.To, next.String())
	}
	r.state = next
}

// completed reports whether the terminal outcome is decided.
func (r *request) completed() bool { return r.state >= stateOutcomeDecided }
