package invariant

import (
	"testing"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// CheckSend detects each kind of violation, and reports none for an attempt that is allowed.
func TestCheckSend_DetectsViolations(t *testing.T) {
	const now = clock.Instant(time.Hour)
	notExecuted := journal.Attempt{StartedAt: now.Add(-3 * time.Second), Ended: true, NotExecuted: true}
	outcomeUnknown := journal.Attempt{StartedAt: now.Add(-2 * time.Second), Ended: true}
	inFlight := journal.Attempt{StartedAt: now.Add(-2 * time.Second)} // started by an earlier process
	idempotent := &policy.Class{Idempotency: policy.Idempotent}
	shortTTL := &policy.Class{Idempotency: policy.IdempotentByKey, KeyTTL: time.Second}
	longTTL := &policy.Class{Idempotency: policy.IdempotentByKey, KeyTTL: 3 * time.Second}
	notIdempotent := &policy.Class{Idempotency: policy.NotIdempotent}
	none := Kind(-1)
	for name, test := range map[string]struct {
		request  Request
		timeLeft time.Duration
		want     Kind
	}{
		"first attempt":             {Request{Terms: notIdempotent}, time.Second, none},
		"after completion":          {Request{Terms: idempotent, Completed: true}, time.Second, SendAfterCompletion},
		"at the deadline":           {Request{Terms: idempotent}, 0, SendAfterDeadline},
		"after the deadline":        {Request{Terms: idempotent}, -time.Second, SendAfterDeadline},
		"another attempt in flight": {Request{Terms: idempotent, InFlight: true}, time.Second, SecondAttempt},
		"not idempotent, not executed": {
			Request{Terms: notIdempotent, Entry: entryWith(notExecuted, notExecuted)}, time.Second, none,
		},
		"not idempotent, outcome unknown": {
			Request{Terms: notIdempotent, Entry: entryWith(notExecuted, outcomeUnknown)}, time.Second, NonIdempotentRepeat,
		},
		"not idempotent, in flight at a restart": {
			Request{Terms: notIdempotent, Entry: entryWith(inFlight)}, time.Second, NonIdempotentRepeat,
		},
		"idempotent, outcome unknown": {Request{Terms: idempotent, Entry: entryWith(outcomeUnknown)}, time.Second, none},
		"key valid":                   {Request{Terms: longTTL, Entry: entryWith(outcomeUnknown)}, time.Second, none},
		"key expired": {
			Request{Terms: shortTTL, Entry: entryWith(outcomeUnknown)}, time.Second, ExpiredKeyRepeat,
		},
		"key expired, not executed": {Request{Terms: shortTTL, Entry: entryWith(notExecuted)}, time.Second, none},
		"key expired since an attempt under an earlier id": {
			Request{Terms: shortTTL, Entry: &journal.Entry{EarlierAttempts: []journal.Attempt{outcomeUnknown}}}, time.Second, ExpiredKeyRepeat,
		},
		"not idempotent, may have executed under an earlier id": {
			Request{Terms: notIdempotent, Entry: &journal.Entry{EarlierAttempts: []journal.Attempt{notExecuted, outcomeUnknown}}}, time.Second, NonIdempotentRepeat,
		},
		"unknown terms": {Request{Entry: entryWith(outcomeUnknown)}, time.Second, none},
	} {
		t.Run(name, func(t *testing.T) {
			m := test.request
			if m.Entry == nil {
				m.Entry = entryWith()
			}
			m.Deadline = now.Add(test.timeLeft)
			k, ok := CheckSend(m, now)
			if ok != (test.want == none) || !ok && k != test.want {
				t.Errorf("violation %v, allowed: %v", k, ok)
			}
		})
	}
}

func entryWith(attempts ...journal.Attempt) *journal.Entry { return &journal.Entry{Attempts: attempts} }
