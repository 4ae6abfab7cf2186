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

// A process that took the place of another can be replaced itself while an order key still cools down that its predecessor
// told it of.
func TestSnapshot_AfterRestoredKeyCooldown(t *testing.T) {
	settings := Settings{
		Instances: 1, MaxInFlight: 4, MaxQueued: 100, MaxAttempts: 8, OrderKeyCooldown: 2 * time.Second,
		Classes: []Class{{
			LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1,
			Idempotency: NotIdempotent, Ordered: true,
		}},
		Kinds: []DestinationKind{{MaxBatch: 1}},
	}
	list := EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a"}}}
	first, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	first.Handle(0, []Event{list, Arrived{ID: "m", TimeLeft: 10 * time.Second, OrderKey: "k"}})
	first.Handle(time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectionReset}})
	second, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	second.Handle(1500*time.Millisecond, []Event{list, SnapshotRestored{Snapshot: first.Snapshot()}})
	defer func() {
		if p := recover(); p != nil {
			t.Fatalf("the second hand-over panics: %v", p)
		}
	}()
	if cooldowns := second.Snapshot().KeyCooldowns; len(cooldowns) != 1 || cooldowns[0].Key != "k" {
		t.Errorf("key cooldowns %v, want that of k", cooldowns)
	}
}

// What happens: a message of an ordered class ends with an attempt that may still be executing, and its outcome waits for its
// acknowledgement as the process hands over. The next process acknowledged it and released the order key at once, although
// the key had to cool down. Why: a snapshot held the cooldowns of acknowledged messages alone, and a message whose outcome is
// decided is handed over without its attempts. Evidence: the actions after the acknowledgement had "n>a" 2.5 s before the
// cooldown's end.
func TestSnapshot_CarriesKeyCooldownOfUnacknowledged(t *testing.T) {
	s := testSettings()
	s.OrderKeyCooldown, s.AwaitAcknowledgement = 4*time.Second, true
	old := newDispatcher(t, s, Endpoint{ID: "a"})
	old.Handle(0, []Event{arrival("m", 2)})
	wantActions(t, "may have executed", old.Handle(time.Second, []Event{ended("m", ConnectionReset)}), "fail m")
	decided := arrival("m", 2).(Arrived)
	decided.Recovered, decided.OutcomeDecided = true, true
	next := newDispatcher(t, s, Endpoint{ID: "a"})
	wantActions(t, "unacknowledged", next.Handle(2*time.Second, []Event{
		SnapshotRestored{old.Snapshot()},
		decided,
		arrival("n", 2),
	}), "")
	wantActions(t, "in cooldown", next.Handle(2500*ms, []Event{Acknowledged{ID: "m"}}), "")
	wantActions(t, "after cooldown", next.Handle(5*time.Second, []Event{TimerFired{}}), "n>a")
}
