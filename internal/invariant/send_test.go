package invariant

import (
	"testing"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// Each violation by sending is detected, and what is allowed is not.
func TestCheckSend_DetectsViolations(t *testing.T) {
	const now = clock.Instant(time.Hour)
	notExecuted := journal.Attempt{StartedAt: now.Add(-3 * time.Second), Ended: true, NotExecuted: true}
	outcomeUnknown := journal.Attempt{StartedAt: now.Add(-2 * time.Second), Ended: true}
	inFlight := journal.Attempt{StartedAt: now.Add(-2 * time.Second)} // of an earlier process
	idempotent := &policy.Class{Idempotency: policy.Idempotent}
	shortTTL := &policy.Class{Idempotency: policy.IdempotentByKey, KeyTTL: time.Second}
	longTTL := &policy.Class{Idempotency: policy.IdempotentByKey, KeyTTL: 3 * time.Second}
	notIdempotent := &policy.Class{Idempotency: policy.NotIdempotent}
	none := Kind(-1)
	for name, test := range map[string]struct {
		message  Message
		timeLeft time.Duration
		want     Kind
	}{
		"first attempt":             {Message{Terms: notIdempotent}, time.Second, none},
		"after completion":          {Message{Terms: idempotent, Completed: true}, time.Second, SendAfterCompletion},
		"at the deadline":           {Message{Terms: idempotent}, 0, SendAfterDeadline},
		"after the deadline":        {Message{Terms: idempotent}, -time.Second, SendAfterDeadline},
		"another attempt in flight": {Message{Terms: idempotent, InFlight: true}, time.Second, SecondAttempt},
		"not idempotent, not executed": {
			Message{Terms: notIdempotent, Entry: entryWith(notExecuted, notExecuted)}, time.Second, none,
		},
		"not idempotent, outcome unknown": {
			Message{Terms: notIdempotent, Entry: entryWith(notExecuted, outcomeUnknown)}, time.Second, NonIdempotentRepeat,
		},
		"not idempotent, in flight at a restart": {
			Message{Terms: notIdempotent, Entry: entryWith(inFlight)}, time.Second, NonIdempotentRepeat,
		},
		"idempotent, outcome unknown": {Message{Terms: idempotent, Entry: entryWith(outcomeUnknown)}, time.Second, none},
		"key valid":                   {Message{Terms: longTTL, Entry: entryWith(outcomeUnknown)}, time.Second, none},
		"key expired": {
			Message{Terms: shortTTL, Entry: entryWith(outcomeUnknown)}, time.Second, ExpiredKeyRepeat,
		},
		"key expired, not executed": {Message{Terms: shortTTL, Entry: entryWith(notExecuted)}, time.Second, none},
		"class not known":           {Message{Entry: entryWith(outcomeUnknown)}, time.Second, none},
	} {
		t.Run(name, func(t *testing.T) {
			m := test.message
			if m.Entry == nil {
				m.Entry = entryWith()
			}
			m.Deadline = now.Add(test.timeLeft)
			k, ok := CheckSend(m, now)
			if ok != (test.want == none) || !ok && k != test.want {
				t.Errorf("violates %v, allowed: %v", k, ok)
			}
		})
	}
}

func entryWith(attempts ...journal.Attempt) *journal.Entry { return &journal.Entry{Attempts: attempts} }
