package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestConnectError_LearnsConnectionLimit guards against treating a connection limit as an outage.
func TestConnectError_LearnsConnectionLimit(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrival("m1", 0), arrival("m2", 0)})
	d.Handle(10*ms, []Event{delivered("m1", "a"), arrival("m3", 0)})
	d.Handle(20*ms, []Event{ended("m2", ConnectError)})
	ep := d.endpoints["a"]
	if ep.health.isUnhealthy() || ep.consecutiveFailures > 0 || ep.connLimit != 1 {
		t.Errorf("unhealthy %v, failures %v, connection limit %v", ep.health.isUnhealthy(), ep.consecutiveFailures, ep.connLimit)
	}
	for range 20 {
		d.recordSuccess(ep, true)
	}
	if ep.connLimit < 1.9 {
		t.Errorf("connection limit %v after twenty successes", ep.connLimit)
	}
}

// TestCloseIdleConns_LowTraffic guards against idle connections of many relays that use up the
// connection limit of a small endpoint.
func TestCloseIdleConns_LowTraffic(t *testing.T) {
	tests := []struct {
		name      string
		interval  time.Duration // between messages
		connLimit float64
		relays    int
		closes    bool
	}{
		{"one message per 15 s", 15 * time.Second, 0, 8, true},
		{"one message per second", time.Second, 0, 8, false},
		{"one message per second, connection limit reached", time.Second, 2, 8, true},
		{"small fleet", 15 * time.Second, 0, 3, false},
		{"more relays than the connection limit of an endpoint", 100 * ms, 0, 80, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.IdleConnTimeout, s.Instances = 10*time.Second, tt.relays
			d := newDispatcher(t, s, Endpoint{ID: "a"})
			closes := false
			for i := range 5 {
				at, id := time.Duration(i+1)*tt.interval, fmt.Sprint("m", i)
				d.Handle(at, []Event{arrival(id, 0)})
				d.endpoints["a"].connLimit = tt.connLimit
				closes = false
				for _, a := range d.Handle(at+50*ms, []Event{delivered(id, "a")}) {
					closes = closes || a == CloseIdleConns{Endpoint: "a"}
				}
			}
			if closes != tt.closes {
				t.Errorf("connection closed: %v", closes)
			}
		})
	}
}

// afterFirstCall returns the Dispatcher of a relay in a large fleet, with n messages for one
// destination, whose first call has just ended at endpoint a with e. It also returns the actions on
// that event.
func afterFirstCall(t *testing.T, n int, e AttemptEnded) (*Dispatcher, []Action) {
	t.Helper()
	s := testSettings()
	s.Weights, s.Instances = WeightsNominal, 80
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 80}, Endpoint{ID: "b", Weight: 80})
	d.endpoints["a"].tieBreaker, d.endpoints["b"].tieBreaker = 0, 1 // a comes first
	q := d.queues[0]
	q.sendBucket.tokens, q.sendBucket.refilledAt = 1, time.Second
	var events []Event
	for i := range n {
		events = append(events, arrival(fmt.Sprint("m", i), 0))
	}
	d.Handle(time.Second, events)
	e.ID, e.Endpoint, e.Latency = "m0", "a", 200*ms
	return d, d.Handle(time.Second+200*ms, []Event{e})
}

// In a fleet that keeps no idle connections, each connection carries one call: it is closed after the call even if another message
// is sent to the endpoint at once, and that message needs a send token like any other. A connection that was used at once could
// carry a second response to the call before.
func TestCloseIdleConns_LargeFleetUsesEachConnectionOnce(t *testing.T) {
	ok := AttemptEnded{Outcome: Succeeded, Final: true, LoadReport: &LoadReport{Remaining: 0.9, RateLimit: 80}}
	full := ok
	full.LoadReport = &LoadReport{Remaining: 0.1, RateLimit: 80}
	for _, tt := range []struct {
		name string
		end  AttemptEnded
	}{
		{"allowance left", ok},
		{"little allowance left", full},
		{"the call failed", AttemptEnded{Outcome: Failed}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, actions := afterFirstCall(t, 3, tt.end)
			wantActions(t, "without a token", actions, "")
			if got := countCloses(actions); got != 1 {
				t.Errorf("closed %d times, want once", got)
			}
		})
	}

	// With a token, the next message is sent to the same endpoint in the batch in which the call ends.
	now := time.Second + 300*ms
	for _, ofConnection := range []bool{true, false} {
		d, actions := afterFirstCall(t, 1, ok)
		wantActions(t, "nothing queued", actions, "")
		q := d.queues[0]
		q.sendBucket.tokens, q.sendBucket.refilledAt = 1, now
		d.endpoints["b"].Draining = true
		actions = d.Handle(now, []Event{arrival("x", 0), arrival("y", 0)}) // x is sent
		wantActions(t, "with one token", actions, "x>a")
		q.sendBucket.tokens, q.sendBucket.refilledAt = 1, now+60*ms
		end := ok
		end.ID, end.Endpoint, end.Latency = "x", "a", 60*ms
		actions = d.Handle(now+60*ms, []Event{end})
		wantActions(t, "with another token", actions, "y>a")
		if got := countCloses(actions); got != 1 {
			t.Errorf("closed %d times after a call whose endpoint got another one, want once", got)
		}

		// A backoff applies whatever was rejected, since every call needs a new connection.
		d, _ = afterFirstCall(t, 1, ok)
		q = d.queues[0]
		q.sendBucket.tokens, q.sendBucket.refilledAt = 1, now
		d.Handle(now, []Event{arrival("x", 0), arrival("y", 0)})
		d.recordRejection(q, ofConnection)
		q.sendBucket.tokens, q.sendBucket.refilledAt = 1, now+60*ms
		end.Endpoint = d.messages["x"].attempts[0].call.endpoint.ID
		wantActions(t, fmt.Sprintf("rejection of the connection: %v", ofConnection), d.Handle(now+60*ms, []Event{end}), "")
	}
}
