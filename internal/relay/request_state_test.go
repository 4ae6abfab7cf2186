package relay

import (
	"os"
	"regexp"
	"testing"

	"frostlink/internal/journal"
)

var allRequestStates = []requestState{stateCandidate, stateAccepted, stateOutcomeDecided, stateNotified, stateEvicted}

// stateTransitions has exactly the transitions that the package documentation lists.
func TestRequestState_TableIsAsDocumented(t *testing.T) {
	source, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^//\t([a-z ]+?) +-> ([a-z]+(?: [a-z]+)?)  `).FindAllStringSubmatch(string(source), -1) {
		documented[m[1]+" -> "+m[2]] = true
	}
	inTable := 0
	for from, targets := range stateTransitions {
		for _, to := range targets {
			inTable++
			if edge := from.String() + " -> " + to.String(); !documented[edge] {
				t.Errorf("%s is not documented", edge)
			}
		}
	}
	if len(documented) != inTable {
		t.Errorf("%d transitions in the table, documented: %v", inTable, documented)
	}
}

// Every state can be reached, no transition leads back, only the evicted state has no transitions, and an outcome that is decided
// stays decided.
func TestRequestState_EndsInEviction(t *testing.T) {
	reached := map[requestState]bool{}
	var visit func(s requestState)
	visit = func(s requestState) {
		reached[s] = true
		for _, next := range stateTransitions[s] {
			if next <= s {
				t.Errorf("%s leads back to %s", s, next)
			}
			visit(next)
		}
	}
	visit(stateCandidate)
	for _, s := range allRequestStates {
		if !reached[s] {
			t.Errorf("%s is never reached", s)
		}
		if _, ok := stateTransitions[s]; !ok {
			t.Errorf("%s is not in the table", s)
		}
		if last := len(stateTransitions[s]) == 0; last != (s == stateEvicted) {
			t.Errorf("%s: has no transitions: %v", s, last)
		}
		r := &request{state: s}
		if want := s != stateCandidate && s != stateAccepted; r.completed() != want {
			t.Errorf("%s: completed %v", s, r.completed())
		}
	}
}

// A transition that the table does not have is still made, so that the relay goes on serving.
func TestRequestState_UnexpectedTransitionIsMade(t *testing.T) {
	r := &request{Entry: &journal.Entry{ID: "m"}, state: stateEvicted}
	if r.state.canBecome(stateAccepted) || !r.state.canBecome(stateEvicted) {
		t.Error("an evicted request can only stay evicted")
	}
	r.transition(stateAccepted)
	if r.state != stateAccepted {
		t.Errorf("state %s", r.state)
	}
}
