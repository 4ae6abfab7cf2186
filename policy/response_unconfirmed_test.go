package policy

import (
	"testing"
	"time"
)

// An unconfirmed response frees the slot of its call, and the wait that it asks for is heeded at once. What it means for the message
// stays open: the message is not sent again before the attempt has ended.
func TestResponseUnconfirmed_CountsForDestinationOnly(t *testing.T) {
	for _, test := range []struct {
		name    string
		end     AttemptEnded
		retried bool
	}{
		{"rejection confirmed", AttemptEnded{Outcome: Rejected, RetryAfter: time.Second}, true},
		{"outcome unknown", AttemptEnded{Outcome: Rejected, RetryAfter: time.Second, OutcomeUnknown: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := testSettings()
			for i := range s.Classes {
				s.Classes[i].Idempotency = NotIdempotent
			}
			d := newDispatcher(t, s, Endpoint{ID: "a"})
			wantActions(t, "sent", d.Handle(time.Second, []Event{arrival("m1", 0)}), "m1>a")
			test.end.ID, test.end.Endpoint, test.end.Latency = "m1", "a", 20*ms
			d.Handle(time.Second+20*ms, []Event{ResponseUnconfirmed(test.end)})
			if d.inFlight != 0 || d.queues[0].retryAfterUntil != 2*time.Second+20*ms || d.messages["m1"].openAttempts != 1 {
				t.Errorf("%d calls in flight, wait until %v, %d open attempts; want 0, 2.02s and 1", d.inFlight, d.queues[0].retryAfterUntil, d.messages["m1"].openAttempts)
			}
			actions := append(d.Handle(time.Second+40*ms, []Event{ResponseUnconfirmed(test.end)}), d.Handle(time.Second+60*ms, []Event{test.end})...)
			actions = append(actions, d.Handle(2*time.Second+100*ms, []Event{TimerFired{}})...)
			if retried := summary(actions) == "m1>a"; retried != test.retried || d.inFlight < 0 {
				t.Errorf("sent again: %v, want %v; %d calls in flight", retried, test.retried, d.inFlight)
			}
		})
	}
}
