package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestConnectError_LearnsConnectionLimit guards against taking a connection limit for an outage.
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

// TestCloseIdleConns_LowTraffic guards against many relays whose idle connections use up those of a
// small endpoint.
func TestCloseIdleConns_LowTraffic(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration // between messages
		connCap  float64
		relays   int
		closes   bool
	}{
		{"one in many seconds", 15 * time.Second, 0, 8, true},
		{"one per second", time.Second, 0, 8, false},
		{"one per second, few connections", time.Second, 2, 8, true},
		{"few relays", 15 * time.Second, 0, 3, false},
		{"more relays than an endpoint takes connections", 100 * ms, 0, 80, true},
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
				d.endpoints["a"].connLimit = tt.connCap
				closes = false
				for _, a := range d.Handle(at+50*ms, []Event{delivered(id, "a")}) {
					closes = closes || a == CloseIdleConns{Endpoint: "a"}
				}
			}
			if closes != tt.closes {
				t.Errorf("closes %v", closes)
			}
		})
	}
}

// afterFirstCall returns a relay of a large fleet whose first call, of n messages for one
// destination, has just ended at endpoint a, and the actions on that.
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

// Where relays keep no idle connections, one that has carried a call carries the next queued
// message, ahead of the send rate. It is closed when nothing is queued.
func TestReusableConn_CarriesQueuedMessages(t *testing.T) {
	ok := AttemptEnded{Outcome: Succeeded, Final: true, LoadReport: &LoadReport{Remaining: 0.9, RateLimit: 80}}
	full := ok
	full.LoadReport = &LoadReport{Remaining: 0.1, RateLimit: 80}
	for _, tt := range []struct {
		name   string
		end    AttemptEnded
		next   string // sent next
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

	// So many calls ahead, and no more; the send rate catches up.
	d, actions := afterFirstCall(t, 9, ok)
	sent, now := 1, time.Second+200*ms
	for ; summary(actions) != ""; sent++ {
		wantActions(t, "in a row", actions, fmt.Sprintf("m%d>a", sent))
		now += 60 * ms
		end := ok
		end.ID, end.Endpoint, end.Latency = fmt.Sprint("m", sent), "a", 60*ms
		actions = d.Handle(now, []Event{end})
	}
	if sent < 1+maxTokenDebt || sent > 2+maxTokenDebt || countCloses(actions) != 1 {
		t.Errorf("%d calls in a row, %d closes", sent, countCloses(actions))
	}
	q := d.queues[0]
	if q.sendBucket.tokens > 1-maxTokenDebt || q.sendBucket.tokens < -maxTokenDebt {
		t.Errorf("%v tokens left", q.sendBucket.tokens)
	}

	// None ahead where the limit rejected a call just now or was lowered, nor more than a part of
	// what is taken in a counting span.
	q = &queue{listedRate: 80}
	for i, change := range []func(){
		func() {},
		func() { q.lastLimitRejection = now },
		func() { q.lastLimitRejection, q.reportedLimit = 0, 20 },
		func() { q.listedRate, q.reportedLimit = 16, 0 },
	} {
		change()
		if got, want := d.tokenDebt(q), []float64{maxTokenDebt, 0, 0, 1}[i]; got != want {
			t.Errorf("case %d: %v calls ahead, want %v", i, got, want)
		}
	}

	// A rejection of the connection holds back new connections, and not what has one; one by the
	// rate limit does both.
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
