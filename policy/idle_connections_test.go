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

// In a fleet that keeps no idle connections, the connection of a call that has ended carries the
// next queued message, for which the queue may borrow send tokens. If no message may be sent on it,
// the connection is closed.
func TestReusableConn_CarriesQueuedMessages(t *testing.T) {
	ok := AttemptEnded{Outcome: Succeeded, Final: true, LoadReport: &LoadReport{Remaining: 0.9, RateLimit: 80}}
	full := ok
	full.LoadReport = &LoadReport{Remaining: 0.1, RateLimit: 80}
	for _, tt := range []struct {
		name   string
		end    AttemptEnded
		next   string // expected next call
		closed int
	}{
		{"allowance left", ok, "m1>a", 0},
		{"little allowance left", full, "", 1},
		{"the call failed", AttemptEnded{Outcome: Failed}, "", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, actions := afterFirstCall(t, 3, tt.end)
			wantActions(t, "next", actions, tt.next)
			if got := countCloses(actions); got != tt.closed {
				t.Errorf("closed %d times, want %d", got, tt.closed)
			}
			if d.queues[0].reusableConn != nil {
				t.Error("the connection still counts as reusable")
			}
		})
	}

	// The tokens that may be borrowed limit the consecutive calls on a connection. The send rate
	// repays these tokens.
	d, actions := afterFirstCall(t, 9, ok)
	sent, now := 1, time.Second+200*ms
	for ; summary(actions) != ""; sent++ {
		wantActions(t, "consecutive calls on one connection", actions, fmt.Sprintf("m%d>a", sent))
		now += 60 * ms
		end := ok
		end.ID, end.Endpoint, end.Latency = fmt.Sprint("m", sent), "a", 60*ms
		actions = d.Handle(now, []Event{end})
	}
	if sent < 1+maxBorrowedTokens || sent > 2+maxBorrowedTokens || countCloses(actions) != 1 {
		t.Errorf("%d consecutive calls on one connection, closed %d times", sent, countCloses(actions))
	}
	q := d.queues[0]
	if q.sendBucket.tokens > 1-maxBorrowedTokens || q.sendBucket.tokens < -maxBorrowedTokens {
		t.Errorf("%v tokens left", q.sendBucket.tokens)
	}

	// No tokens may be borrowed after a recent rejection by the rate limit or under a lowered
	// limit, and never more than borrowedTokensShare of the calls that are accepted per
	// rateLimitWindow.
	q = &queue{listedRate: 80}
	for i, change := range []func(){
		func() {},
		func() { q.lastLimitRejection = now },
		func() { q.lastLimitRejection, q.reportedLimit = 0, 20 },
		func() { q.listedRate, q.reportedLimit = 16, 0 },
	} {
		change()
		if got, want := d.borrowableTokens(q), []float64{maxBorrowedTokens, 0, 0, 1}[i]; got != want {
			t.Errorf("case %d: %v borrowable tokens, want %v", i, got, want)
		}
	}

	// The backoff after a rejection of the connection applies to new connections only. The backoff
	// after a rejection by the rate limit applies to open connections too.
	for _, ofConnection := range []bool{true, false} {
		d, actions := afterFirstCall(t, 1, ok)
		wantActions(t, "nothing queued", actions, "")
		q := d.queues[0]
		q.sendBucket.tokens, q.sendBucket.refilledAt = 1, now
		d.Handle(now, []Event{arrival("x", 0), arrival("y", 0)}) // x is sent
		d.recordRejection(q, ofConnection)
		end := ok
		end.ID, end.Endpoint, end.Latency = "x", d.messages["x"].attempts[0].call.endpoint.ID, 60*ms
		want := ""
		if ofConnection {
			want = "y>" + end.Endpoint
		}
		wantActions(t, fmt.Sprintf("rejection of the connection: %v", ofConnection), d.Handle(now+60*ms, []Event{
			end,
		}), want)
	}
}
