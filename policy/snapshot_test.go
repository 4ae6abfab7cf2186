package policy

import (
	"testing"
	"time"
)

// The limit that a destination reported is carried over to the next process.
func TestSnapshot_CarriesReportedLimit(t *testing.T) {
	s := testSettings()
	s.Weights = WeightsNominal
	old, next := newDispatcher(t, s, Endpoint{ID: "a", Weight: 20}), newDispatcher(t, s, Endpoint{ID: "a", Weight: 20})
	old.recordReportedLimit(old.queues[0], 4)
	next.Handle(time.Second, []Event{SnapshotRestored{old.Snapshot()}})
	if q := next.queues[0]; q.sendRate != 4 || next.evenShare(q) != 4 {
		t.Errorf("send rate %v, even share %v", q.sendRate, next.evenShare(q))
	}
}

// An order key that is blocked after a completed message stays blocked in the next process, and a
// message whose outcome is decided blocks its key there until that is acknowledged.
func TestSnapshot_CarriesKeyCooldowns(t *testing.T) {
	s := testSettings()
	s.OrderKeyCooldown, s.AwaitAcknowledgement = 2*time.Second, true
	old := newDispatcher(t, s, Endpoint{ID: "a"})
	old.Handle(0, []Event{arrival("m", 2)})
	wantActions(t, "may have executed", old.Handle(time.Second, []Event{ended("m", ConnectionReset)}), "fail m")
	old.Handle(time.Second+ms, []Event{Acknowledged{ID: "m"}})
	next := newDispatcher(t, s, Endpoint{ID: "a"})
	wantActions(t, "in cooldown", next.Handle(2*time.Second, []Event{
		SnapshotRestored{old.Snapshot()},
		arrival("n", 2),
	}), "")
	wantActions(t, "after cooldown", next.Handle(3*time.Second, []Event{TimerFired{}}), "n>a")
	if len(next.coolingDown) != 0 {
		t.Errorf("%d keys in cooldown", len(next.coolingDown))
	}
	next = newDispatcher(t, s, Endpoint{ID: "a"})
	decided := arrival("m", 2).(Arrived)
	decided.Recovered, decided.OutcomeDecided = true, true
	wantActions(t, "decided", next.Handle(ms, []Event{decided, arrival("n", 2)}), "")
	wantActions(t, "acknowledged", next.Handle(2*ms, []Event{Acknowledged{ID: "m"}}), "n>a")
}
