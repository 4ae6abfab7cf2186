package handover

import (
	"slices"
	"testing"
)

// reachable returns the states that can be reached from the first state.
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

// checkTable checks that all states of a table are reachable, that all events and actions in it belong to
// this side, and that exactly the states in final have no transitions.
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
				t.Errorf("state %v: event %d belongs to the other side", state, e)
			}
			for _, a := range step.actions {
				if !actions(a) {
					t.Errorf("state %v, event %d: action %d belongs to the other side", state, e, a)
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
				t.Errorf("state %v, event %d: ownership must end exactly with the transfer of the lock; transferred: %v", state, e, transfers)
			}
			if !from.owns() && to.owns() {
				t.Errorf("state %v, event %d: owner again after the lock was transferred", state, e)
			}
			if resumes := slices.Contains(step.actions, actionResume); resumes && !to.owns() {
				t.Errorf("state %v, event %d: resumes a relay that it does not own", state, e)
			}
		}
		waits := state != predecessorOwning && state != predecessorShuttingDown && state != predecessorFinished
		if _, ok := steps[eventPeerGone]; ok != waits {
			t.Errorf("state %v: handles the end of the link: %v, want %v", state, ok, waits)
		}
		// Once everything is passed there is no step left that could time out.
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
				t.Errorf("state %v, event %d: becomes the owner: %v, receives the lock: %v", state, e, to.owns(), locks)
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

// An event that is not listed for a state has no effect: it was in flight when the previous state ended.
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
