package policy

import (
	"testing"
	"time"
)

func TestQueuedMessage_RejectedAtDeadline(t *testing.T) {
	d := newDispatcher(t, testSettings())
	got := d.Handle(0, []Event{arrival("m", 2)})
	wantActions(t, "no endpoint listed", got, "")
	at := got[len(got)-1].(SetTimer).After
	if at > 10*time.Second || at < 9900*ms {
		t.Errorf("timer after %v", at)
	}
	wantActions(t, "before", d.Handle(at-ms, []Event{TimerFired{}}), "")
	wantActions(t, "at that time", d.Handle(at, []Event{TimerFired{}}), "reject m")
	wantActions(t, "late outcome", d.Handle(at+ms, []Event{AttemptEnded{ID: "m", Outcome: Succeeded}}), "")
}

// TestQueuedMessage_GivenUpWithoutTimeForAttempt guards against attempts that occupy a slot but
// cannot end before the deadline.
func TestQueuedMessage_GivenUpWithoutTimeForAttempt(t *testing.T) {
	d := newDispatcher(t, testSettings())
	d.Handle(0, []Event{arrival("m", 0)})
	d.queues[0].latency.observe(0, 0.5)
	wantActions(t, "0.6 s left, 0.5 s needed", d.Handle(9400*ms, []Event{TimerFired{}}), "")
	wantActions(t, "0.4 s left, 0.5 s needed", d.Handle(9600*ms, []Event{TimerFired{}}), "reject m")
}

// A message whose deadline passes while its attempt is in flight gets exactly one terminal outcome,
// immediately. Its call stays in flight: the next message with its order key waits for the outcome
// of the attempt, and a Retry-After in that outcome applies to other messages.
func TestDeadlineExceeded_WhileAttemptInFlight(t *testing.T) {
	for _, tt := range []struct {
		name  string
		class int
		want  string
	}{{"idempotent", 0, "reject m"}, {"by key", 1, "reject m"}, {"not idempotent, ordered", 2, "fail m"}} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
			d.Handle(0, []Event{arrival("m", tt.class)})
			wantActions(t, "before", d.Handle(time.Second, []Event{DeadlineExceeded{ID: "other"}}), "")
			wantActions(t, "at the deadline", d.Handle(10*time.Second, []Event{DeadlineExceeded{ID: "m"}}), tt.want)
			wantActions(t, "again", d.Handle(10*time.Second+ms, []Event{DeadlineExceeded{ID: "m"}}), "")
			if d.inFlight != 1 || d.messages["m"] == nil {
				t.Errorf("%d calls in flight, want 1; message kept: %v, want true", d.inFlight, d.messages["m"] != nil)
			}
			next := "n>b"
			if tt.class == 2 {
				next = "" // ordered: waits for the outcome of the attempt
			}
			wantActions(t, "next message", d.Handle(10*time.Second+2*ms, []Event{arrival("n", tt.class)}), next)
			ep := d.messages["m"].attempts[0].call.endpoint.ID
			wantActions(t, "Retry-After", d.Handle(10*time.Second+10*ms,
				[]Event{
					AttemptEnded{ID: "m", Endpoint: ep, Outcome: Rejected, RetryAfter: 2 * time.Second, Latency: time.Second},
					arrival("o", 0),
				}), "")
			if d.messages["m"] != nil {
				t.Error("message not evicted")
			}
			if got := summary(d.Handle(12*time.Second+20*ms, []Event{TimerFired{}})); got == "" {
				t.Error("nothing is sent after Retry-After")
			}
		})
	}
}

func TestAttemptsExhausted_EndsMessage(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	wantActions(t, "sent", d.Handle(time.Second, []Event{arrival("m", 2)}), "m>a")
	wantActions(t, "ended", d.Handle(2*time.Second, []Event{
		AttemptEnded{ID: "m", Endpoint: "a", Outcome: NotSent, AttemptsExhausted: true},
	}),
		"reject m")
}
