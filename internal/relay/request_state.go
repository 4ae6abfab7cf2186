package relay

import (
	"log/slog"
	"slices"

	"frostlink/internal/logkey"
)

// requestState is the stage of a request's lifecycle.
type requestState uint8

// The states. The package documentation gives the cause of each transition.
const (
	stateCandidate      requestState = iota // submitted or offered for redelivery in this batch; not in the journal yet
	stateAccepted                           // in the journal; its terminal outcome is open
	stateOutcomeDecided                     // its terminal outcome is in the journal and must still be published
	stateNotified                           // the platform has the outcome; the dead-letter store has not stored it yet
	stateEvicted                            // its outcome needs no further publication
)

// stateTransitions are the allowed transitions, by the state that they leave.
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

// canBecome reports whether next is s itself or stateTransitions has a transition from s to next.
func (s requestState) canBecome(next requestState) bool {
	return s == next || slices.Contains(stateTransitions[s], next)
}

// unexpectedTransition is the log message for a transition that stateTransitions does not have.
const unexpectedTransition = "unexpected request state transition"

// transition sets the request's state. A transition that stateTransitions does not have is logged and still made, because
// the event that caused it has happened and the process must go on serving the other requests.
func (r *request) transition(next requestState) {
	if !r.state.canBecome(next) {
		slog.Error(unexpectedTransition, logkey.RequestID, r.ID, logkey.From, r.state.String(), logkey.To, next.String())
	}
	r.state = next
}

// completed reports whether the terminal outcome is decided, or the request was evicted without one.
func (r *request) completed() bool { return r.state >= stateOutcomeDecided }
