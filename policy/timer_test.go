package policy

import (
	"testing"
	"time"
)

// TestTimer_NotArmedWhileWaitingForSlot guards against requesting a timer in every batch while a
// queue that has a send token waits for a slot.
func TestTimer_NotArmedWhileWaitingForSlot(t *testing.T) {
	s := testSettings()
	s.MaxInFlight, s.Weights = 1, WeightsNominal
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 5})
	for _, a := range d.Handle(0, []Event{arrival("m", 0), arrival("n", 0)}) {
		if w, ok := a.(SetTimer); ok && w.After < time.Second {
			t.Errorf("timer after %v", w.After)
		}
	}
}

// TestTimer_RearmedAfterFiringEarly guards against a message without a timer after its only timer
// has fired early because of a clock with a coarser resolution.
func TestTimer_RearmedAfterFiringEarly(t *testing.T) {
	d := newDispatcher(t, testSettings())
	got := d.Handle(0, []Event{arrival("m", 0)})
	at := got[len(got)-1].(SetTimer).After
	got = d.Handle(at-400, []Event{TimerFired{}})
	if len(got) != 1 || got[0].(SetTimer).After > 10*ms {
		t.Fatalf("after a timer that fired 400 ns early: %v, want another timer", got)
	}
}
