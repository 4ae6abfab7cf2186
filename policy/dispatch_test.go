package policy

import (
	"testing"
	"time"
)

func TestDispatch_FewestCallsInFlightFirst(t *testing.T) {
	s := testSettings()
	s.MaxInFlight = 3
	d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	other := Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}
	wantActions(t, "fewest calls in flight first", d.Handle(0, []Event{
		arrival("m1", 0),
		arrival("m2", 0),
		arrival("m3", 0),
		other,
	}),
		"m1>a n>b m2>a")
}

// TestDispatch_UrgentMessageFirst guards against slots that go to messages of long deadlines while
// urgent messages wait. With few slots, queues often tie in their number of calls in flight.
func TestDispatch_UrgentMessageFirst(t *testing.T) {
	s := testSettings()
	s.MaxInFlight = 1
	s.Classes[1].LatencyObjective = 8 * time.Second
	d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	wantActions(t, "one slot", d.Handle(0, []Event{
		Arrived{ID: "patient", Class: 1, TimeLeft: 10 * time.Second},
		Arrived{ID: "urgent", Destination: 1, TimeLeft: 10 * time.Second},
	}), "urgent>b")
}
