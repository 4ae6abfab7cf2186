package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestRetryAfter_BindsDestinationOrRoute(t *testing.T) {
	for _, tt := range []struct {
		kind int
		want string
	}{{0, ""}, {2, "n>b"}} { // Retry-After of one endpoint applies to the whole destination, or only to its separate route
		d := newDispatcher(t, testSettings(), Endpoint{ID: "a", Kind: tt.kind}, Endpoint{ID: "b", Kind: tt.kind})
		d.Handle(0, []Event{arrival("m", 0)})
		d.Handle(ms, []Event{
			AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second},
			MessageCanceled{ID: "m"},
		})
		wantActions(t, fmt.Sprint("kind ", tt.kind), d.Handle(500*ms, []Event{arrival("n", 0)}), tt.want)
	}
}

// TestRetryAfter_HoldsFromFirstOutcomeOfBatch guards against losing a Retry-After that arrives with
// the first of several outcomes of a call.
func TestRetryAfter_HoldsFromFirstOutcomeOfBatch(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a", Kind: 1})
	wantActions(t, "one call", d.Handle(0, []Event{arrival("m", 0), arrival("n", 0)}), "m>a n>a")
	if d.inFlight != 1 {
		t.Errorf("%d calls in flight, want one batch", d.inFlight)
	}
	got := d.Handle(ms, []Event{
		AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second},
		arrival("o", 0),
	})
	wantActions(t, "before Retry-After has passed", got, "")
}

// When a destination answers with Retry-After, its attempts that have not sent a byte are
// cancelled. They did not execute and are retried after Retry-After. Attempts at other destinations
// are not cancelled, and a rejection without Retry-After cancels nothing.
func TestRetryAfter_CancelsBeforeSend(t *testing.T) {
	for _, tt := range []struct {
		name       string
		retryAfter time.Duration
		want       []Action
	}{
		{"with Retry-After", 2 * time.Second, []Action{CancelBeforeSend{ID: "m1", Attempt: 0}}},
		{"without Retry-After", 0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c", Destination: 1})
			other := arrival("other", 0).(Arrived)
			other.Destination = 1
			d.Handle(time.Second, []Event{arrival("m0", 0), arrival("m1", 0), other})
			if d.inFlight != 3 {
				t.Fatalf("%d calls in flight", d.inFlight)
			}
			var got []Action
			ep := d.messages["m0"].attempts[0].call.endpoint.ID
			for _, a := range d.Handle(1100*ms, []Event{AttemptEnded{ID: "m0", Endpoint: ep, Outcome: Rejected, RetryAfter: tt.retryAfter, Latency: 100 * ms}}) {
				if u, ok := a.(CancelBeforeSend); ok {
					got = append(got, u)
				}
			}
			if len(got) != len(tt.want) || len(got) > 0 && got[0] != tt.want[0] {
				t.Errorf("%v, want %v", got, tt.want)
			}
			if tt.retryAfter == 0 {
				return
			}
			ep = d.messages["m1"].attempts[0].call.endpoint.ID
			wantActions(t, "before Retry-After has passed", d.Handle(1110*ms, []Event{
				AttemptEnded{ID: "m1", Endpoint: ep, Outcome: NotSent, Latency: 110 * ms},
			}), "")
			if m := d.messages["m1"]; m.firstExecuted() != nil || m.queue == nil {
				t.Errorf("queued: %v, executed: %v", m.queue != nil, m.firstExecuted())
			}
			if after := summary(d.Handle(3200*ms, []Event{TimerFired{}})); after == "" {
				t.Error("nothing is sent after Retry-After")
			}
		})
	}
}

// TestRejection_BackoffIsRandomized guards against relays that are rejected at the same time and
// then send again at the same time.
func TestRejection_BackoffIsRandomized(t *testing.T) {
	s := testSettings()
	s.Instances, s.Weights = 400, WeightsNominal
	seen := map[time.Duration]bool{}
	for seed := range int64(5) {
		d, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(0, []Event{
			EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}},
			arrival("m", 0),
		})
		d.Handle(ms, []Event{ended("m", Rejected)})
		seen[d.queues[0].backoffUntil] = true
	}
	if len(seen) < 4 {
		t.Errorf("five relays send again at %d different times, want at least 4", len(seen))
	}
}

// Calls that were in flight at the same time and are all rejected count as one rejection, because
// all of them were sent before the first rejection arrived.
func TestRejection_CallsRejectedTogetherCountOnce(t *testing.T) {
	s := testSettings()
	s.Weights, s.MaxInFlight = WeightsNominal, 16
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 100})
	q := d.queues[0]
	var arrivals, rejections []Event
	for i := range 8 {
		id := fmt.Sprint("m", i)
		arrivals = append(arrivals, arrival(id, 0))
		rejections = append(rejections, ended(id, Rejected))
	}
	d.Handle(ms, arrivals)
	if len(q.inFlight) != 8 {
		t.Fatalf("%d calls in flight", len(q.inFlight))
	}
	d.Handle(50*ms, rejections)
	if q.rejections != 1 || q.sendRate != 100*rateDecrease && q.sendRate != (100+100)/2 || q.backoffUntil > 50*ms+20*ms {
		t.Errorf("%d consecutive rejections, send rate %v, backoff %v", q.rejections, q.sendRate, q.backoffUntil-50*ms)
	}
	// Each call that is sent after the backoff and then rejected counts as one more rejection.
	at := 50 * ms
	for n := 2; n < 6; n++ {
		at = max(q.backoffUntil, at) + 50*ms
		d.Handle(at, []Event{TimerFired{}})
		if len(q.inFlight) == 0 {
			t.Fatalf("nothing is sent after the backoff, at %v", at)
		}
		at += 10 * ms
		c := q.inFlight[len(q.inFlight)-1] // the newest call
		m := c.messages[0]
		d.Handle(at, []Event{AttemptEnded{ID: m.ID, Endpoint: "a", Attempt: len(m.attempts) - 1, Outcome: Rejected}})
		if q.rejections != n {
			t.Errorf("%d consecutive rejections, want %d", q.rejections, n)
		}
	}
	if q.backoffUntil-at > maxBackoff*3/2 {
		t.Errorf("backoff of %v", q.backoffUntil-at)
	}
}

// A destination that reports its rate limit, but rejects a call without a report, has reached its
// connection limit. The send rate stays unchanged, but a series of such rejections still makes the
// destination unavailable.
func TestRejection_OfConnectionLeavesSendRate(t *testing.T) {
	for _, tt := range []struct {
		name       string
		reports    bool
		report     *LoadReport
		lowersRate bool
	}{
		{"by the rate limit", true, &LoadReport{Remaining: 0, RateLimit: 20}, true},
		{"of the connection", true, nil, false},
		{"of a destination without load reports", false, nil, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.Weights, s.Instances = WeightsNominal, 2
			d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 20})
			q := d.queues[0]
			if tt.reports {
				d.recordReportedLimit(q, 20)
			}
			before, now := q.sendRate, time.Second
			for i := 0; !d.endpoints["a"].health.isUnhealthy(); i++ {
				if i == 60 {
					t.Fatalf("not unhealthy after %d rejections", i)
				}
				id := fmt.Sprint("m", i)
				d.Handle(now, []Event{arrival(id, 0)})
				if m := d.messages[id]; m != nil && m.openAttempts > 0 {
					d.Handle(now+40*ms, []Event{
						AttemptEnded{ID: id, Endpoint: "a", Outcome: Rejected, LoadReport: tt.report},
						MessageCanceled{id},
					})
					if i == 0 && (q.sendRate < before) != tt.lowersRate {
						t.Errorf("send rate %v after %v", q.sendRate, before)
					}
					if q.pausedUntil() <= now {
						t.Error("no backoff")
					}
				} else {
					d.Handle(now+40*ms, []Event{MessageCanceled{id}})
				}
				now += 300 * ms
			}
		})
	}
}
