package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestSelectEndpoint_AvoidsEndpointThatFailsTheClass guards against sending messages of a class to
// an endpoint that fails this class and serves the others.
func TestSelectEndpoint_AvoidsEndpointThatFailsTheClass(t *testing.T) {
	s := testSettings()
	d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{arrival("m", 0)})
	wantActions(t, "a retry goes to the other endpoint", d.Handle(ms, []Event{ended("m", Failed)}), "m>b")
	d.Handle(2*ms, []Event{AttemptEnded{ID: "m", Endpoint: "b", Attempt: 1, Outcome: Succeeded, Final: true}})
	wantActions(t, "another message of the class goes to the other endpoint", d.Handle(3*ms, []Event{arrival("n", 0)}), "n>b")
	d.Handle(4*ms, []Event{delivered("n", "b")})
	d.endpoints["a"].lastUsed = 4 * ms
	wantActions(t, "a message of another class", d.Handle(5*ms, []Event{arrival("o", 1)}), "o>a")
}

// In a large fleet, where relays keep no idle connections, each relay starts at a random endpoint
// and rotates through all of them. In a small fleet, each relay stays with the endpoint whose
// connection may still be open.
func TestSelectEndpoint_TakesTurnsInLargeFleet(t *testing.T) {
	for _, relays := range []int{3, 80} {
		first := map[string]int{}
		for seed := range int64(60) {
			s := testSettings()
			s.Instances = relays
			d, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}}})
			calls := map[string]int{}
			for i := range 6 {
				now, id := time.Duration(i)*100*ms, fmt.Sprint("m", i)
				d.Handle(now, []Event{arrival(id, 0)})
				to := d.messages[id].attempts[0].call.endpoint.ID
				if calls[to]++; i == 0 {
					first[to]++
				}
				d.Handle(now+50*ms, []Event{delivered(id, to)})
			}
			if want := map[bool]int{true: 1, false: 3}[relays == 3]; len(calls) != want {
				t.Errorf("%d relays, seed %d: calls by endpoint %v, want %d endpoints", relays, seed, calls, want)
			}
		}
		if relays == 80 && (first["a"] < 8 || first["b"] < 8 || first["c"] < 8) {
			t.Errorf("first endpoints of %d relays: %v", 60, first)
		}
	}
}
