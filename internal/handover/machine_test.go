package handover

import (
	"slices"
	"testing"
)

// reachable returns the states that a machine can come to from its first one.
func reachable[State comparable](table transitionTable[State], first State) []State {
	states := []State{first}
	for i := 0; i < len(states); i++ {
		for _, step := range table[states[i]] {
			if !slices.Contains(states, step.to) {
				states = append(states, step.to)
			}
		}
	}
	return states
}

// checkTable checks that all states of a table are reachable, that each event and action in it is of
// this side, and that a state without an event to leave it is meant to be final.
func checkTable[State comparable](
	t *testing.T, table transitionTable[State], first State, final []State,
	events func(event) bool, actions func(action) bool,
) {
	t.Helper()
	states := reachable(table, first)
	for state, steps := range table {
		if !slices.Contains(states, state) {
			t.Errorf("state %v can't be reached", state)
		}
		if (len(steps) == 0) != slices.Contains(final, state) {
			t.Errorf("state %v has %d transitions", state, len(steps))
		}
		for e, step := range steps {
			if _, ok := table[step.to]; !ok {
				t.Errorf("state %v, event %d: state %v is not in the table", state, e, step.to)
			}
			if !events(e) {
				t.Errorf("state %v: event %d is of the other side", state, e)
			}
			for _, a := range step.actions {
				if !actions(a) {
					t.Errorf("state %v, event %d: action %d is of the other side", state, e, a)
				}
			}
		}
	}
}

func TestPredecessorTransitions(t *testing.T) {
	table := predecessorTransitions
	checkTable(t, table, predecessorOwning, []predecessorState{predecessorFinished},
		func(e event) bool { return e != eventNone && e <= eventStopRequested },
		func(a action) bool { return a <= actionReclaim })
	for state, steps := range table {
		for e, step := range steps {
			from, to := predecessor{state}, predecessor{step.to}
			transfers := slices.Contains(step.actions, actionTransferLock)
			if from.owns() && !to.owns() != transfers {
				t.Errorf("state %v, event %d: ownership ends, the lock is transferred: %v", state, e, transfers)
			}
			if !from.owns() && to.owns() {
				t.Errorf("state %v, event %d: ownership comes back", state, e)
			}
			if resumes := slices.Contains(step.actions, actionResume); resumes && !to.owns() {
				t.Errorf("state %v, event %d: a relay is resumed that is not owned", state, e)
			}
		}
		waits := state != predecessorOwning && state != predecessorShuttingDown && state != predecessorFinished
		if _, ok := steps[eventPeerGone]; ok != waits {
			t.Errorf("state %v: handles the end of the link: %v, want %v", state, ok, waits)
		}
		// Once all was passed there is nothing left that could take too long.
		if _, ok := steps[eventTimedOut]; ok != (waits && state != predecessorHandedOver) {
			t.Errorf("state %v: handles a timeout: %v", state, ok)
		}
	}
}

func TestSuccessorTransitions(t *testing.T) {
	table := successorTransitions
	checkTable(t, table, successorAsking, []successorState{successorServing, successorFailed},
		func(e event) bool { return e == eventPeerGone || e == eventTimedOut || e >= eventLockFree },
		func(a action) bool { return a >= actionAsk })
	for state, steps := range table {
		for e, step := range steps {
			from, to := successor{state}, successor{step.to}
			locks := e == eventLockFree || e == eventLockTransferred
			if !from.owns() && to.owns() != locks {
				t.Errorf("state %v, event %d: owns %v, has the lock %v", state, e, to.owns(), locks)
			}
			if from.owns() && !to.owns() {
				t.Errorf("state %v, event %d: ownership ends", state, e)
			}
		}
		if _, ok := steps[eventPeerGone]; ok != (len(steps) > 0) {
			t.Errorf("state %v: handles the end of the link: %v", state, ok)
		}
	}
}

// An event that a state does not list was in flight when the previous state ended: it changes nothing.
func TestMachines_IgnoreUnlistedEvents(t *testing.T) {
	for e := eventNone; e <= eventAllReceived; e++ {
		for state, steps := range predecessorTransitions {
			if _, ok := steps[e]; ok {
				continue
			}
			p := predecessor{state}
			if actions := p.handle(e); actions != nil || p.state != state {
				t.Errorf("predecessor in state %v, event %d: state %v, actions %v", state, e, p.state, actions)
			}
		}
		for state, steps := range successorTransitions {
			if _, ok := steps[e]; ok {
				continue
			}
			s := successor{state}
			if actions := s.handle(e); actions != nil || s.state != state {
				t.Errorf("successor in state %v, event %d: state %v, actions %v", state, e, s.state, actions)
			}
		}
	}
}
