package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestAttemptEnded_RetriesAsIdempotencyAllows(t *testing.T) {
	tests := []struct {
		class   int
		outcome Outcome
		want    string
	}{
		{0, Succeeded, ""},
		{0, Failed, "m>a"},
		{0, TimedOut, "m>a"},
		{0, ConnectionReset, "m>a"},
		{0, Canceled, "m>a"},
		{0, ConnectError, "m>a"},
		{0, NotSent, "m>a"},
		{0, Rejected, ""},
		{1, Succeeded, ""},
		{1, Failed, "m>a"},
		{1, TimedOut, "m>a"},
		{1, ConnectError, "m>a"},
		{2, Succeeded, ""},
		{2, Failed, "fail m"},
		{2, TimedOut, "fail m"},
		{2, ConnectionReset, "fail m"},
		{2, Canceled, "fail m"},
		{2, ConnectError, "m>a"},
		{2, NotSent, "m>a"},
	}
	for _, tt := range tests {
		d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
		wantActions(t, "arrival", d.Handle(0, []Event{arrival("m", tt.class)}), "m>a")
		got := d.Handle(time.Second, []Event{
			AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, Final: tt.outcome == Succeeded},
		})
		wantActions(t, fmt.Sprintf("class %d, outcome %d", tt.class, tt.outcome), got, tt.want)
	}
}

func TestRetry_EndsWithKeyTTL(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrival("m", 1)})
	got := d.Handle(3995*ms, []Event{ended("m", TimedOut)})
	wantActions(t, "key expired", got, "reject m")
}

// With KeyPerZone, only the zone of the first attempt drops repeats. A message that may have
// executed at an endpoint that is no longer listed is therefore not sent again after a restart,
// because the zone of that endpoint is unknown.
func TestRetry_KeyPerZoneAndUnknownZone(t *testing.T) {
	s := testSettings()
	s.Classes[1].KeyPerZone = true
	for _, tt := range []struct {
		name, attempted, want string
		zones                 []int
	}{
		{"removed", "gone", "", []int{0, 1}},
		{"listed without a zone", "a", "", []int{-1, -1}},
		{"listed", "a", "m>a", []int{0, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(t, s, Endpoint{ID: "a", Zone: tt.zones[0]}, Endpoint{ID: "b", Zone: tt.zones[1]})
			got := d.Handle(time.Second, []Event{Arrived{
				ID: "m", Class: 1, TimeLeft: 10 * time.Second, OrderKey: "k", Recovered: true,
				PriorAttempts: []PriorAttempt{{Endpoint: tt.attempted, SentAt: 0}},
			}})
			wantActions(t, "recovered", got, tt.want)
			if tt.want == "" {
				wantActions(t, "key expired", d.Handle(4*time.Second, []Event{TimerFired{}}), "fail m")
			}
		})
	}
}

// A retry of a message that may have executed must be written before its idempotency key expires,
// however long its connection takes to establish.
func TestRetry_WriteWithinKeyTTL(t *testing.T) {
	const latency = 500 * ms
	for _, tt := range []struct {
		class   int
		outcome Outcome
		want    time.Duration
	}{
		{1, ConnectionReset, 4*time.Second - 10*ms - latency},
		{1, Failed, 4*time.Second - 10*ms - latency},
		{1, Rejected, 0},
		{1, ConnectError, 0},
		{0, ConnectionReset, 0},
	} {
		d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
		d.Handle(0, []Event{arrival("m", tt.class)})
		actions := d.Handle(latency, []Event{
			AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, Latency: latency},
		})
		for now := latency; summary(actions) == "" && now < 3*time.Second; now += ms {
			actions = d.Handle(now, []Event{TimerFired{}})
			tt.want = max(0, tt.want-ms) // stays 0 during the backoff after a rejection
		}
		i := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Send); return ok })
		if i < 0 {
			t.Errorf("class %d, outcome %d: not sent again: %v", tt.class, tt.outcome, actions)
		} else if got := actions[i].(Send).WriteWithin; got != tt.want {
			t.Errorf("class %d, outcome %d: WriteWithin %v, want %v", tt.class, tt.outcome, got, tt.want)
		}
	}
}
