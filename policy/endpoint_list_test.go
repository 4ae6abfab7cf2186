package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestEndpointList_NoCallsToDrainingOrRemovedEndpoints(t *testing.T) {
	s := testSettings()
	s.MaxInFlight = 8
	d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Draining: true}}}})
	wantActions(t, "draining", d.Handle(1, []Event{arrival("m", 0), arrival("n", 0)}), "m>b n>b")
	d.Handle(2, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "c"}}}})
	wantActions(t, "removed", d.Handle(3, []Event{arrival("o", 0)}), "o>c")
}

// When an endpoint starts draining or is removed, attempts that have not sent a byte are
// cancelled: their connections may be established only after the endpoint has stopped accepting new
// calls. Applying the same change again cancels nothing.
func TestEndpointList_CancelsBeforeSend(t *testing.T) {
	for name, change := range map[string]EndpointsChanged{
		"draining":           {Endpoints: []Endpoint{{ID: "a", Draining: true}}},
		"removed":            {Endpoints: []Endpoint{{ID: "a", Removed: true}}},
		"not in a full list": {Full: true, Endpoints: []Endpoint{{ID: "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
			d.Handle(0, []Event{arrival("m", 0), arrival("n", 0)})
			cancelled := 0
			for range 2 {
				for _, a := range d.Handle(ms, []Event{change}) {
					if u, ok := a.(CancelBeforeSend); ok {
						if cancelled++; d.messages[u.ID].attempts[u.Attempt].call.endpoint.ID != "a" {
							t.Errorf("cancelled an attempt at another endpoint: %+v", u)
						}
					}
				}
			}
			if cancelled != 1 {
				t.Errorf("%d attempts cancelled, want 1", cancelled)
			}
		})
	}
}

// TestEndpointList_ReplacedEndpointsAreDropped guards against a leak of endpoints and separate
// routes that are no longer listed.
func TestEndpointList_ReplacedEndpointsAreDropped(t *testing.T) {
	for kind := range 3 {
		d := newDispatcher(t, testSettings())
		for i := range 200 {
			now := time.Duration(i) * time.Second
			d.Handle(now, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{
				{ID: fmt.Sprint("a", i), Kind: kind},
				{ID: fmt.Sprint("b", i), Kind: kind},
			}}, arrival(fmt.Sprint("m", i), 0)})
			for id, m := range d.messages {
				d.Handle(now+100*ms, []Event{delivered(id, m.attempts[0].call.endpoint.ID)})
			}
		}
		if len(d.endpoints) != 2 || len(d.queues) > 3 || len(d.destinations) != 1 || len(d.activeQueues)+len(d.messages)+len(d.unfinished) != 0 {
			t.Errorf("kind %d: %d endpoints, %d queues, %d active, %d messages", kind, len(d.endpoints), len(d.queues),
				len(d.activeQueues), len(d.messages))
		}
	}
}

// TestEndpointList_NewEndpointOfUnhealthyDestination guards against all relays sending at once to a
// new endpoint that replaces one in an outage.
func TestEndpointList_NewEndpointOfUnhealthyDestination(t *testing.T) {
	for _, removed := range []bool{false, true} { // the old endpoint stays, or is replaced
		d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
		d.markUnhealthy(d.endpoints["a"])
		d.Handle(ms, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Removed: removed}, {ID: "b"}}}})
		if !d.endpoints["b"].health.isUnhealthy() {
			t.Errorf("old endpoint removed %v: new endpoint is not unhealthy", removed)
		}
		d.recordSuccess(d.endpoints["b"], true)
		d.Handle(2*ms, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "c"}}}})
		if d.endpoints["c"].health.isUnhealthy() {
			t.Error("endpoint added after the recovery is unhealthy")
		}
	}
}

// TestEndpointList_EmptiesAndRefills guards against inconsistent state after unusual sequences: the
// list becomes empty while calls are in flight, weight and zone of an endpoint change, and the time
// decreases and jumps far ahead.
func TestEndpointList_EmptiesAndRefills(t *testing.T) {
	for kind := range 3 {
		s := testSettings()
		s.Weights = WeightsNominal
		d := newDispatcher(t, s, Endpoint{ID: "a", Kind: kind, Weight: 5})
		wantActions(t, "sent", d.Handle(time.Second, []Event{arrival("m", 0)}), "m>a")
		wantActions(t, "queued", d.Handle(2*time.Second, []Event{EndpointsChanged{Full: true}, arrival("n", 0)}), "")
		wantActions(t, "outcome after removal", d.Handle(0, []Event{delivered("m", "a")}), "")
		wantActions(t, "listed again", d.Handle(3*time.Second, []Event{EndpointsChanged{Endpoints: []Endpoint{
			{ID: "a", Kind: kind, Weight: 7, Zone: 1},
		}}}), "n>a")
		wantActions(t, "after a jump of the time", d.Handle(1000*time.Hour, []Event{
			delivered("n", "a"),
			arrival("o", 0),
		}), "o>a")
		if d.inFlight != 1 || len(d.messages) != 1 {
			t.Errorf("kind %d: %d calls in flight, %d messages", kind, d.inFlight, len(d.messages))
		}
	}
}

// An id under which discovery lists another process than before, at another address or started later, is not the endpoint to which
// connections are being established: attempts that have not sent a byte are cancelled.
func TestEndpointList_CancelsBeforeSendToReplacedProcess(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrival("m", 0)})
	for _, tt := range []struct {
		replaced bool
		want     int
	}{{false, 0}, {true, 1}} {
		cancelled := 0
		for _, a := range d.Handle(ms, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Replaced: tt.replaced}}}}) {
			if _, ok := a.(CancelBeforeSend); ok {
				cancelled++
			}
		}
		if cancelled != tt.want {
			t.Errorf("replaced %v: %d attempts cancelled, want %d", tt.replaced, cancelled, tt.want)
		}
	}
}

// An id that discovery lists under another destination serves that destination alone from then on.
func TestEndpointList_MovesToAnotherDestination(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(ms, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Destination: 5}}}})
	for i := range 4 {
		message := arrival(fmt.Sprint("m", i), 0)
		for _, a := range d.Handle(time.Duration(2+i)*ms, []Event{message}) {
			if send, ok := a.(Send); ok && send.Endpoint == "a" {
				t.Errorf("sent to the endpoint that serves another destination now: %+v", send)
			}
		}
	}
	message := Arrived{ID: "other", Destination: 5, TimeLeft: time.Second}
	wantActions(t, "at its new destination", d.Handle(10*ms, []Event{message}), "other>a")
}
