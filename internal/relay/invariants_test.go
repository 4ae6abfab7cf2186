package relay

import (
	"context"
	"testing"
	"time"

	"frostlink/internal/invariant"
	"frostlink/policy"
)

// Whatever the module asks for against the invariants is counted and not done.
func TestInvariants_StopForbiddenAttempts(t *testing.T) {
	unsafe := policy.Class{Name: "order", Idempotency: policy.NotIdempotent}
	keyed := policy.Class{Name: "payment", Idempotency: policy.IdempotentByKey, KeyTTL: time.Millisecond}
	doubtful := func(l *loop, m *request) {
		l.journal.BeginAttempt(m.Entry, "h", l.timeline.Now().Add(-time.Second))
		l.journal.EndAttempt(m.Entry, false, "reset", l.timeline.Now())
	}
	for name, c := range map[string]struct {
		class   policy.Class
		left    time.Duration
		before  func(*loop, *request)
		violate invariant.Kind
	}{
		"a send after the end":          {unsafe, time.Minute, func(_ *loop, m *request) { m.state = stateOutcomeDecided }, -1}, // passed over: its end may cross the send
		"a send after the deadline":     {unsafe, -time.Second, nil, invariant.SendAfterDeadline},
		"a send while one is out":       {unsafe, time.Minute, func(_ *loop, m *request) { m.attemptInFlight = true }, invariant.SecondAttempt},
		"an unsafe message twice":       {unsafe, time.Minute, doubtful, invariant.NonIdempotentRepeat},
		"a keyed message out of memory": {keyed, time.Minute, doubtful, invariant.ExpiredKeyRepeat},
	} {
		t.Run(name, func(t *testing.T) {
			l, m := loopWithAcceptedRequest(t, c.class, c.left)
			if c.before != nil {
				c.before(l, m)
			}
			l.planAttempt(l.now(), policy.Send{ID: m.ID, Endpoint: "h"})
			if len(l.attempts) != 0 {
				t.Error("it is sent")
			}
			if c.violate >= 0 && l.violations.ByKind()[c.violate.String()] != 1 {
				t.Errorf("counted: %v", l.violations.ByKind())
			}
		})
	}
}

// An attempt whose record was not written is not made.
func TestInvariants_StopUnrecordedAttempt(t *testing.T) {
	l, m := loopWithAcceptedRequest(t, policy.Class{Name: "order", Idempotency: policy.NotIdempotent}, time.Minute)
	l.planAttempt(l.now(), policy.Send{ID: m.ID, Endpoint: "h"})
	l.startAttempt(t.Context(), l.attempts[0]) // and no commit
	if l.attemptsInFlight != 0 || l.violations.ByKind()[invariant.SendUnrecorded.String()] != 1 {
		t.Errorf("%d out, counted: %v", l.attemptsInFlight, l.violations.ByKind())
	}
}

// A message that the module forgets is ended all the same, and its call given up.
func TestInvariants_FailOverdueRequests(t *testing.T) {
	l, m := loopWithAcceptedRequest(t, policy.Class{Name: "order", Idempotency: policy.NotIdempotent}, -250*time.Millisecond) // 50 ms past what is allowed
	ctx, cancel := context.WithCancel(t.Context())
	m.cancel = cancel
	l.failOverdue()
	l.failOverdue()
	if err := l.journal.Commit(); err != nil {
		t.Fatal(err)
	}
	for _, do := range l.effects.immediate {
		do()
	}
	l.runAfterCommitEffects(true)
	if !m.completed() || m.PendingNotice == nil || ctx.Err() == nil || l.violations.ByKind()[invariant.CompletionOverdue.String()] != 1 {
		t.Errorf("over %v, owed %v, call %v, counted: %v", m.completed(), m.PendingNotice, ctx.Err(), l.violations.ByKind())
	}
	l.decideOutcome(m, "once more")
	if l.violations.ByKind()[invariant.CompletedTwice.String()] != 1 {
		t.Errorf("a second end is not counted: %v", l.violations.ByKind())
	}
}
