package policy

import (
	"testing"
	"time"
)

func TestOrder_OneMessagePerKeyAndCooldown(t *testing.T) {
	s := testSettings()
	s.OrderKeyCooldown = 300 * ms
	d := newDispatcher(t, s, Endpoint{ID: "a"})
	wantActions(t, "one of a key at a time", d.Handle(0, []Event{arrival("m", 2), arrival("n", 2)}), "m>a")
	wantActions(t, "a time-out rests the key", d.Handle(time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}}),
		"fail m")
	wantActions(t, "still resting", d.Handle(1299*ms, []Event{TimerFired{}}), "")
	wantActions(t, "rested", d.Handle(1300*ms, []Event{TimerFired{}}), "n>a")
}

// Where ends take a while to be known, the next of a key waits for that: a call that overtakes the notice of the message
// before it is out of turn. What has no key, and what was delivered, holds up nothing.
func TestOrder_WaitsForAcknowledgement(t *testing.T) {
	for _, settles := range []bool{false, true} {
		s := testSettings()
		s.AwaitAcknowledgement = settles
		d := newDispatcher(t, s, Endpoint{ID: "a"})
		d.Handle(0, []Event{arrival("m", 2), arrival("n", 2)})
		got := summary(d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Failed}}))
		if !settles {
			if got != "fail m n>a" {
				t.Errorf("ends count at once: %q", got)
			}
			continue
		}
		if got != "fail m" {
			t.Errorf("given up: %q", got)
		}
		wantActions(t, "of another message", d.Handle(2*ms, []Event{Acknowledged{ID: "x"}, Acknowledged{ID: "n"}}), "")
		wantActions(t, "known", d.Handle(3*ms, []Event{Acknowledged{ID: "m"}}), "n>a")
		wantActions(t, "delivered", d.Handle(4*ms, []Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: Succeeded, Final: true}, arrival("o", 2)}), "o>a")
		wantActions(t, "without a key", d.Handle(5*ms, []Event{
			AttemptEnded{ID: "o", Endpoint: "a", Outcome: Failed},
			Arrived{ID: "p", Class: 2, TimeLeft: time.Second},
		}), "fail o p>a")
		if n := len(d.orderKeys); n != 1 { // o's, of which nobody has heard
			t.Errorf("%d keys are held", n)
		}
	}
}
