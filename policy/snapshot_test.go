package policy

import (
	"testing"
	"time"
)

// The rate limit that a destination reported is handed over to the next process.
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

// An order key in cooldown after a completed message stays blocked in the next process. There, a
// message whose outcome is decided blocks its order key until the outcome is acknowledged.
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
		t.Errorf("%d order keys still in cooldown", len(next.coolingDown))
	}
	next = newDispatcher(t, s, Endpoint{ID: "a"})
	decided := arrival("m", 2).(Arrived)
	decided.Recovered, decided.OutcomeDecided = true, true
	wantActions(t, "decided", next.Handle(ms, []Event{decided, arrival("n", 2)}), "")
	wantActions(t, "acknowledged", next.Handle(2*ms, []Event{Acknowledged{ID: "m"}}), "n>a")
}

// A process can hand over while an order key is still in a cooldown that the process got from its
// own predecessor.
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
			t.Fatalf("second hand-over panics: %v", p)
		}
	}()
	if cooldowns := second.Snapshot().KeyCooldowns; len(cooldowns) != 1 || cooldowns[0].Key != "k" {
		t.Errorf("key cooldowns %v, want one for key k", cooldowns)
	}
}

// TestSnapshot_CarriesKeyCooldownOfUnacknowledged guards against an order key that is released
// before its cooldown has ended. An ordered message ends with an attempt that may still be
// executing, and the process hands over before the outcome is acknowledged. A message whose outcome
// is decided is handed over without its attempts, and the snapshot held the cooldowns of
// acknowledged messages only. The successor process therefore sent the next message directly after
// the acknowledgement, 2.5 s too early.
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
