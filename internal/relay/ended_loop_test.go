package relay

import (
	"context"
	"testing"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/discovery"
	"frostlink/internal/invariant"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// A request whose response forbids further attempts is not sent again, whatever the dispatcher decides.
func TestPlanAttempt_NotAfterFinalResponse(t *testing.T) {
	for _, result := range []upstream.Result{
		{Outcome: policy.NotSent, AttemptsExhausted: true},
		{Outcome: policy.NotSent, AttemptsExhausted: true, OutcomeUnknown: true, Doubt: upstream.DoubtEarly},
		{Outcome: policy.ConnectionReset, AttemptsExhausted: true, OutcomeUnknown: true, Doubt: upstream.DoubtFollowed},
	} {
		l, r := loopWithAcceptedRequest(t, policy.Class{Name: "C", Idempotency: policy.Idempotent}, time.Minute)
		l.doubtful = &admin.ResponseCounts{}
		l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
		l.attempts = nil
		l.handleAttemptEnded(attemptEnded{id: r.ID, endpoint: "h", Result: result})
		l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
		if planned, violations := len(l.attempts), l.violations.ByKind()[invariant.SendAfterCompletion.String()]; planned != 0 || violations != 1 {
			t.Errorf("after %+v: %d attempts planned, %d violations recorded; want none, and one", result, planned, violations)
		}
		if counts := l.doubtful.ByEndpoint()["h"]; (result.Doubt != upstream.NoDoubt) != (counts[string(result.Doubt)] == 1) {
			t.Errorf("after %+v: counts %v", result, counts)
		}
	}
}

// The end of an attempt that has reached the loop when the process ends is recorded: the next process does not send the request again. The
// fault: it was dropped with the inbox, in about half of all cases.
func TestLoop_RecordsEndsOfAttemptsWhenItStops(t *testing.T) {
	const tries = 20
	lost := 0
	for range tries {
		l, r := loopWithDispatcher(t)
		l.inbox, l.watch = make(chan event, 1), discovery.NewWatcher("127.0.0.1:0", nil, nil)
		l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
		l.attempts = nil
		l.inbox <- attemptEnded{id: r.ID, endpoint: "h", Result: upstream.Result{Outcome: policy.Succeeded, Final: true}}
		stopped, stop := context.WithCancel(t.Context())
		stop()
		l.run(stopped)
		if !l.journal.IsCompleted(r.ID) || !l.journal.Durable(l.journal.LastRecord()) {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("the end of the request was lost in %d of %d tries", lost, tries)
	}
}

// While the folder can't be written, a response that ends a request still forbids further attempts.
func TestEndedRequest_NotSentAgainWhileFolderFails(t *testing.T) {
	for _, result := range []upstream.Result{
		{Outcome: policy.Succeeded, Final: true},
		{Outcome: policy.NotSent, Final: true},
		{Outcome: policy.NotSent, AttemptsExhausted: true},
		{Outcome: policy.ConnectionReset, AttemptsExhausted: true, OutcomeUnknown: true, Doubt: upstream.DoubtConnFailed},
	} {
		l, r := loopWithAcceptedRequest(t, policy.Class{Name: "C", Idempotency: policy.Idempotent}, time.Minute)
		l.doubtful = &admin.ResponseCounts{}
		l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
		l.attempts = nil
		if err := l.journal.Close(); err != nil { // the next write fails
			t.Fatal(err)
		}
		l.handleAttemptEnded(attemptEnded{id: r.ID, endpoint: "h", Result: result})
		l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
		if len(l.attempts) != 0 || r.completed() != result.Final {
			t.Errorf("after %+v: %d attempts planned, completed %v", result, len(l.attempts), r.completed())
		}
	}
}
