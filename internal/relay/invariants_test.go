package relay

import (
	"context"
	"testing"
	"time"

	"frostlink/internal/invariant"
	"frostlink/policy"
)

// An attempt that violates an invariant is not made, and the violation is counted.
func TestInvariants_StopForbiddenAttempts(t *testing.T) {
	notIdempotent := policy.Class{Name: "order", Idempotency: policy.NotIdempotent}
	idempotentByKey := policy.Class{Name: "payment", Idempotency: policy.IdempotentByKey, KeyTTL: time.Millisecond}
	withUnknownOutcome := func(l *loop, r *request) {
		l.journal.BeginAttempt(r.Entry, "h", l.timeline.Now().Add(-time.Second))
		l.journal.EndAttempt(r.Entry, false, "reset", l.timeline.Now())
	}
	for name, c := range map[string]struct {
		class   policy.Class
		left    time.Duration
		before  func(*loop, *request)
		violate invariant.Kind
	}{
		// Ignored without a violation: the outcome may be decided after the dispatcher has planned the attempt.
		"after the outcome":      {notIdempotent, time.Minute, func(_ *loop, r *request) { r.state = stateOutcomeDecided }, -1},
		"after the deadline":     {notIdempotent, -time.Second, nil, invariant.SendAfterDeadline},
		"while one is in flight": {notIdempotent, time.Minute, func(_ *loop, r *request) { r.attemptInFlight = true }, invariant.SecondAttempt},
		"not idempotent, twice":  {notIdempotent, time.Minute, withUnknownOutcome, invariant.NonIdempotentRepeat},
		"key expired":            {idempotentByKey, time.Minute, withUnknownOutcome, invariant.ExpiredKeyRepeat},
	} {
		t.Run(name, func(t *testing.T) {
			l, r := loopWithAcceptedRequest(t, c.class, c.left)
			if c.before != nil {
				c.before(l, r)
			}
			l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
			if len(l.attempts) != 0 {
				t.Error("the attempt is scheduled")
			}
			if c.violate >= 0 && l.violations.ByKind()[c.violate.String()] != 1 {
				t.Errorf("violations: %v", l.violations.ByKind())
			}
		})
	}
}

// An attempt whose record was not written is not started.
func TestInvariants_StopUnrecordedAttempt(t *testing.T) {
	l, r := loopWithAcceptedRequest(t, policy.Class{Name: "order", Idempotency: policy.NotIdempotent}, time.Minute)
	l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
	l.startAttempt(t.Context(), l.attempts[0]) // without a commit
	if l.attemptsInFlight != 0 || l.violations.ByKind()[invariant.SendUnrecorded.String()] != 1 {
		t.Errorf("%d attempts in flight, violations: %v", l.attemptsInFlight, l.violations.ByKind())
	}
}

// A request whose outcome the dispatcher does not decide in time is failed, and its attempt is cancelled.
func TestInvariants_FailOverdueRequests(t *testing.T) {
	// The deadline is 250 ms ago: 50 ms beyond the grace period for the outcome.
	l, r := loopWithAcceptedRequest(t, policy.Class{Name: "order", Idempotency: policy.NotIdempotent}, -250*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	r.cancel = cancel
	l.failOverdue()
	l.failOverdue()
	if err := l.journal.Commit(); err != nil {
		t.Fatal(err)
	}
	for _, run := range l.effects.immediate {
		run()
	}
	l.runAfterCommitEffects(true)
	if !r.completed() || r.PendingNotice == nil || ctx.Err() == nil || l.violations.ByKind()[invariant.CompletionOverdue.String()] != 1 {
		t.Errorf("completed %v, pending notice %v, attempt's context %v, violations: %v", r.completed(), r.PendingNotice, ctx.Err(), l.violations.ByKind())
	}
	l.decideOutcome(r, "once more")
	if l.violations.ByKind()[invariant.CompletedTwice.String()] != 1 {
		t.Errorf("a second outcome is not counted: %v", l.violations.ByKind())
	}
}
