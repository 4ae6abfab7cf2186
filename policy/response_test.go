package policy

import (
	"testing"
	"time"
)

// Doubt about a response never allows what the response forbids.
func TestResponse_InDoubtForbidsTheSame(t *testing.T) {
	for _, r := range []Response{
		{Outcome: Succeeded, Final: true},
		{Outcome: NotSent, Final: true},
		{Outcome: NotSent, AttemptsExhausted: true},
		{Outcome: NotSent},
		{Outcome: Rejected, RetryAfter: time.Second},
		{Outcome: Failed},
	} {
		d := r.InDoubt()
		if d.EndsAttempts() != r.EndsAttempts() || d.RetryAfter != r.RetryAfter || d.Final || !d.OutcomeUnknown || d.Outcome == Succeeded {
			t.Errorf("%+v in doubt: %+v", r, d)
		}
		for _, other := range []Response{{Outcome: Succeeded, Final: true}, {Outcome: NotSent, AttemptsExhausted: true}, {Outcome: Rejected, RetryAfter: time.Minute}} {
			if both := r.And(other).InDoubt(); both.EndsAttempts() != (r.EndsAttempts() || other.EndsAttempts()) || both.RetryAfter != max(r.RetryAfter, other.RetryAfter) {
				t.Errorf("%+v and %+v in doubt: %+v", r, other, both)
			}
		}
	}
	withdrawn, rejected := Response{Outcome: NotSent, Final: true}, Response{Outcome: NotSent}
	if withdrawn.Means(rejected) || !withdrawn.Means(withdrawn) {
		t.Error("a withdrawal means the same as a lack of slots")
	}
}

// A message whose response ends its attempts gets its terminal outcome, whatever its idempotency and although the response is in doubt. The
// fault: a doubtful 410 was dropped, and the message was sent again.
func TestResponse_InDoubtEndsMessage(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		for _, response := range []Response{{Outcome: Succeeded, Final: true}, {Outcome: NotSent, Final: true}, {Outcome: NotSent, AttemptsExhausted: true}} {
			s := testSettings()
			for i := range s.Classes {
				s.Classes[i].Idempotency, s.Classes[i].KeyTTL = idempotency, time.Minute
			}
			d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
			wantActions(t, "sent", d.Handle(time.Second, []Event{arrival("m1", 0)}), "m1>a")
			e := AttemptEnded{ID: "m1", Endpoint: "a", Latency: 20 * ms}
			e.SetResponse(response.InDoubt())
			want := "reject m1"
			if idempotency == NotIdempotent {
				want = "fail m1"
			}
			wantActions(t, "ended", d.Handle(time.Second+20*ms, []Event{e}), want)
			wantActions(t, "later", d.Handle(2*time.Second, []Event{TimerFired{}}), "")
		}
	}
}

// A message with two attempts in flight gets no third one once the response to the first has ended its attempts.
func TestAttemptEnded_OtherAttemptInFlightAllowsNoFurtherOne(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	d.Handle(time.Second, []Event{arrival("m1", 0)})
	m := d.messages["m1"]
	m.attempts = append(m.attempts, m.attempts[0])
	m.attempts[0].call.pendingOutcomes++
	m.openAttempts++
	wantActions(t, "first", d.Handle(time.Second+20*ms, []Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: NotSent, AttemptsExhausted: true}}), "")
	wantActions(t, "second", d.Handle(time.Second+40*ms, []Event{AttemptEnded{ID: "m1", Endpoint: "a", Attempt: 1, Outcome: Rejected}}), "reject m1")
}

// A wait that follows an unconfirmed response without one is heeded.
func TestResponseUnconfirmed_WaitOfFollowingResponseIsHeeded(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	d.Handle(time.Second, []Event{arrival("m1", 0)})
	end := AttemptEnded{ID: "m1", Endpoint: "a", Outcome: Rejected, Latency: 20 * ms}
	d.Handle(time.Second+20*ms, []Event{ResponseUnconfirmed(end)})
	end.RetryAfter = time.Second
	d.Handle(time.Second+60*ms, []Event{end})
	if got := d.queues[0].retryAfterUntil; got != 2*time.Second+60*ms {
		t.Errorf("wait until %v, want 2.06s", got)
	}
}
