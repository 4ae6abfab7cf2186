package policy

import (
	"testing"
	"time"
)

// What a destination told of its limit goes on to the process that takes the place.
func TestSnapshot_CarriesReportedLimit(t *testing.T) {
	s := testSettings()
	s.Weights = WeightsNominal
	old, next := newDispatcher(t, s, Endpoint{ID: "a", Weight: 20}), newDispatcher(t, s, Endpoint{ID: "a", Weight: 20})
	old.recordReportedLimit(old.queues[0], 4)
	next.Handle(time.Second, []Event{SnapshotRestored{old.Snapshot()}})
	if q := next.queues[0]; q.sendRate != 4 || next.evenShare(q) != 4 {
		t.Errorf("pace %v, even share %v", q.sendRate, next.evenShare(q))
	}
}

// A key that rests after a message that is over goes on resting in a process that takes the place of another, and a message whose
// end is decided holds its key there until that is known.
func TestSnapshot_CarriesKeyCooldowns(t *testing.T) {
	s := testSettings()
	s.OrderKeyCooldown, s.AwaitAcknowledgement = 2*time.Second, true
	old := newDispatcher(t, s, Endpoint{ID: "a"})
	old.Handle(0, []Event{arrival("m", 2)})
	wantActions(t, "may have run", old.Handle(time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectionReset}}), "fail m")
	old.Handle(time.Second+ms, []Event{Acknowledged{ID: "m"}})
	next := newDispatcher(t, s, Endpoint{ID: "a"})
	wantActions(t, "at rest", next.Handle(2*time.Second, []Event{SnapshotRestored{old.Snapshot()}, arrival("n", 2)}), "")
	wantActions(t, "rested", next.Handle(3*time.Second, []Event{TimerFired{}}), "n>a")
	if len(next.coolingDown) != 0 {
		t.Errorf("%d keys rest", len(next.coolingDown))
	}
	next = newDispatcher(t, s, Endpoint{ID: "a"})
	decided := arrival("m", 2).(Arrived)
	decided.Recovered, decided.OutcomeDecided = true, true
	wantActions(t, "decided", next.Handle(ms, []Event{decided, arrival("n", 2)}), "")
	wantActions(t, "known", next.Handle(2*ms, []Event{Acknowledged{ID: "m"}}), "n>a")
}
