package relay

import (
	"testing"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// keyedLoop returns a loop whose dispatcher has one endpoint, h1 of destination 7, and knows the classes of testSettings. It has no
// goroutines.
func keyedLoop(t *testing.T, keyTTL float64) (*loop, *deadLetterLink) {
	t.Helper()
	p := newPlatform(t)
	p.keyTTL = keyTTL
	cfg, err := ReadConfig(p.writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	l, _ := loopWithDispatcher(t)
	if l.dispatcher, err = policy.New(cfg.policy, cfg.seed); err != nil {
		t.Fatal(err)
	}
	l.cfg, l.destinations = cfg, map[int]bool{7: true}
	link := &deadLetterLink{loop: l, writer: &deadLetterWriter{queue: newDeadLetterQueue(0)}}
	l.subsystems = []subsystem{link}
	l.dispatcher.Handle(l.now(), []policy.Event{policy.EndpointsChanged{Full: true, Endpoints: []policy.Endpoint{{ID: "h1", Destination: 7}}}})
	return l, link
}

// keyedDeadLetter returns a payment whose only attempt began at an instant and has an execution, as the store offers it.
func keyedDeadLetter(now, attemptAt clock.Instant, execution deadletter.Execution) deadletter.Offer {
	attempt := deadletter.Attempt{Endpoint: "h1", StartedAt: attemptAt.Time(), Execution: execution}
	record := &deadletter.Record{ID: "m", Class: "payment", Destination: 7, IdempotencyKey: "key", Incarnations: []deadletter.Incarnation{
		{ID: "m", Attempts: []deadletter.Attempt{attempt}},
		{ID: "again-m", AcceptedAt: now.Time(), Deadline: now.Add(time.Minute).Time()},
	}}
	return deadletter.Offer{Record: record, Incarnation: record.Last()}
}

// A redelivery is sent only if its destination still remembers its key when it is sent, whatever was so when the store allowed it,
// and it must be written while that is so. Guards against a second execution (docs/incidents/2026-12-04-resend-past-its-key.md): a
// dead letter that the store had allowed in time waited in the relay, and was sent after the key's TTL.
func TestRedelivery_SentOnlyWhileItsKeyIsRemembered(t *testing.T) {
	const waited = 60 * time.Millisecond // between the store's permission and the dispatcher's decision
	margin := deadletter.KeyMargin
	shortTTL := (margin + waited/2).Seconds()
	for name, c := range map[string]struct {
		keyTTL    float64
		execution deadletter.Execution
		sent      bool
	}{
		"key remembered":               {15, deadletter.ExecutionUnknown, true},
		"key's time over in the queue": {shortTTL, deadletter.ExecutionUnknown, false},
		"never executed":               {shortTTL, deadletter.NotExecuted, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, link := keyedLoop(t, c.keyTTL)
			attemptAt := l.timeline.Now()
			link.admitRedelivery(redeliveryEntry(keyedDeadLetter(attemptAt, attemptAt, c.execution), []byte("body")))
			time.Sleep(waited)
			sent := false
			for _, a := range l.dispatcher.Handle(l.now(), l.events) {
				send, ok := a.(policy.Send)
				if !ok {
					continue
				}
				sent = true
				limit := time.Duration(c.keyTTL*float64(time.Second)) - margin - waited
				if mayHaveExecuted := c.execution != deadletter.NotExecuted; mayHaveExecuted && (send.WriteWithin <= 0 || send.WriteWithin > limit) {
					t.Errorf("must be written within %v, want at most %v", send.WriteWithin, limit)
				}
			}
			if sent != c.sent {
				t.Errorf("sent: %v, want %v", sent, c.sent)
			}
		})
	}
}

// The age of an attempt from before the machine's last reboot is unknown, so that a payment which may have been executed then is
// not sent.
func TestRedelivery_NotSentIfItsAttemptIsOfAnotherBoot(t *testing.T) {
	l, link := keyedLoop(t, 15)
	now := l.timeline.Now()
	link.admitRedelivery(redeliveryEntry(keyedDeadLetter(now, l.timeline.Anchor().At, deadletter.ExecutionUnknown), nil))
	for _, a := range l.dispatcher.Handle(l.now(), l.events) {
		if send, ok := a.(policy.Send); ok {
			t.Errorf("sent: %+v", send)
		}
	}
}

// A redelivery that an earlier process left in the journal without an attempt is returned to the store, which decides on it anew,
// and one with an attempt is not sent again. Guards against a second execution: the permission of the earlier process may be over,
// and the journal does not have the attempts under earlier ids.
func TestRedelivery_RecoveredIsReturnedToStore(t *testing.T) {
	for name, attempts := range map[string]int{"no attempt": 0, "attempt without an outcome": 1} {
		t.Run(name, func(t *testing.T) {
			l, link := keyedLoop(t, 15)
			now := l.timeline.Now()
			e := &journal.Entry{ID: "again-m", Class: "payment", Destination: 7, IdempotencyKey: "key", Redelivery: true, AcceptedAt: now, Deadline: now.Add(time.Minute)}
			l.journal.SetTerms(e, l.cfg.policy.Classes[l.classIndex("payment")])
			l.journal.Accept(e)
			if attempts > 0 {
				l.journal.BeginAttempt(e, "h1", now)
			}
			l.recoverRequest(t.Context(), e, nil)
			for _, a := range l.dispatcher.Handle(l.now(), l.events) {
				if send, ok := a.(policy.Send); ok {
					t.Errorf("sent: %+v", send)
				}
				l.applyOutcome(a)
			}
			l.events = nil
			l.commit(t.Context())
			results := link.writer.queue.waiting.results
			if len(results) != 1 || results[0].Incarnation.ID != "again-m" || len(results[0].Incarnation.Attempts) != attempts || results[0].Delivered {
				t.Errorf("returned to the store: %+v", results)
			}
		})
	}
}
