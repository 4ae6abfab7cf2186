package policy

import (
	"testing"
	"time"
)

func TestOrder_OneMessagePerKeyAndCooldown(t *testing.T) {
	s := testSettings()
	s.OrderKeyCooldown = 300 * ms
	d := newDispatcher(t, s, Endpoint{ID: "a"})
	wantActions(t, "one message per key at a time", d.Handle(0, []Event{arrival("m", 2), arrival("n", 2)}), "m>a")
	wantActions(t, "a timeout blocks the key", d.Handle(time.Second, []Event{ended("m", TimedOut)}),
		"fail m")
	wantActions(t, "in cooldown", d.Handle(1299*ms, []Event{TimerFired{}}), "")
	wantActions(t, "after cooldown", d.Handle(1300*ms, []Event{TimerFired{}}), "n>a")
}

// With AwaitAcknowledgement, the next message with an order key waits until the outcome of the
// message before it is acknowledged; otherwise it could be sent before the client receives
// that outcome. Messages without an order key and delivered messages block nothing.
func TestOrder_WaitsForAcknowledgement(t *testing.T) {
	for _, awaits := range []bool{false, true} {
		s := testSettings()
		s.AwaitAcknowledgement = awaits
		d := newDispatcher(t, s, Endpoint{ID: "a"})
		d.Handle(0, []Event{arrival("m", 2), arrival("n", 2)})
		got := summary(d.Handle(ms, []Event{ended("m", Failed)}))
		if !awaits {
			if got != "fail m n>a" {
				t.Errorf("without AwaitAcknowledgement: %q", got)
			}
			continue
		}
		if got != "fail m" {
			t.Errorf("after a failed attempt: %q", got)
		}
		wantActions(t, "acknowledgement of another message", d.Handle(2*ms, []Event{
			Acknowledged{ID: "x"},
			Acknowledged{ID: "n"},
		}), "")
		wantActions(t, "acknowledged", d.Handle(3*ms, []Event{Acknowledged{ID: "m"}}), "n>a")
		wantActions(t, "delivered", d.Handle(4*ms, []Event{delivered("n", "a"), arrival("o", 2)}), "o>a")
		wantActions(t, "without a key", d.Handle(5*ms, []Event{
			ended("o", Failed),
			Arrived{ID: "p", Class: 2, TimeLeft: time.Second},
		}), "fail o p>a")
		if n := len(d.orderKeys); n != 1 { // key of o, whose outcome is not acknowledged
			t.Errorf("%d order keys, want 1", n)
		}
	}
}
