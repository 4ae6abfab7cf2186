package relay

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"slices"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// redeliveryDelivered and overtaken are ends of a resend that the store is told; the platform never hears of them.
const redeliveryDelivered, redeliverySuperseded = "delivered", "overtaken"

// ResendClasses are the settings' classes in the terms of the store of undelivered messages.
func (cfg *Config) ResendClasses(own *deadletter.Section) (classes []deadletter.Class) {
	effects := map[policy.Idempotency]deadletter.Effect{
		policy.Idempotent: deadletter.Safe, policy.IdempotentByKey: deadletter.Keyed,
		policy.NotIdempotent: deadletter.Unsafe,
	}
	for _, c := range cfg.policy.Classes {
		if c.Retired {
			continue
		}
		subject := slices.ContainsFunc(own.Subjects, func(s deadletter.Subject) bool { return s.Class == c.Name })
		classes = append(classes, deadletter.Class{
			Name: c.Name, Effect: effects[c.Idempotency], Memory: c.KeyTTL,
			Attempts: cfg.policy.MaxAttempts, Subject: subject, Returns: own.ClientsReturn == nil || *own.ClientsReturn,
		})
	}
	return classes
}

// newResender makes the core that decides what is resent.
func newResender(cfg *Config, store *deadletter.Store) *deadletter.Resender {
	r := deadletter.NewResender(store, cfg.Own.Undelivered.Rules, cfg.ResendClasses(cfg.Own.Undelivered), cfg.Name, newRedeliveryID)
	own := cfg.Own.Undelivered
	rules, err := json.Marshal([]any{own.Rules, own.Subjects, own.SubjectsStick, own.SubjectsSettle, cfg.ResendClasses(own)})
	if err != nil {
		panic(err) // no rule that was read can fail
	}
	digest := sha256.Sum256(rules)
	if changed, err := store.RulesAre(digest[:]); err != nil {
		slog.Error("rules for undelivered messages", "err", err)
	} else if changed {
		r.Sweep()
	}
	return r
}

// newRedeliveryID makes an id that no client uses: a hundred bits by chance.
func newRedeliveryID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return "again-" + hex.EncodeToString(b[:])
}

// offerRedeliveries offers the loop what is due.
func (k *deadLetterWriter) offerRedeliveries(ctx context.Context) error {
	offers, err := k.resender.Round(k.now(), func(id string) bool {
		q := holds{id, make(chan bool, 1)}
		k.send(q)
		select {
		case held := <-q.answer:
			return held
		case <-ctx.Done():
			return true // it is not the time to decide
		}
	})
	if k.gate != nil {
		defer k.gate.End() // the round's offers are made by then
	}
	for _, o := range offers {
		body, bodyErr := k.deadLetters.Body(o.Record.ID)
		if bodyErr != nil {
			slog.Error("an undelivered message is not resent", "err", bodyErr)
			k.addResult(deadletter.Result{Life: deadletter.Life{ID: o.Life.ID}})
			continue
		}
		k.send(resend{&journal.Entry{
			ID: o.Life.ID, Class: o.Record.Class, Destination: o.Record.Partner, Tenant: o.Record.Tenant,
			IdempotencyKey: o.Record.Key, OrderKey: o.Record.Item, Subject: o.Record.Subject, Order: o.Record.Order, AcceptedAt: clock.FromTime(o.Life.Taken), Deadline: clock.FromTime(o.Life.Expires),
			Body: body, Redelivery: true,
		}})
	}
	return err
}

// offerRedelivery hands a message from the store to the module, behind all that is fresh.
func (l *loop) offerRedelivery(r resend) {
	m := &request{Entry: r.entry}
	if l.requests[m.ID] != nil {
		return
	}
	if m.Order != nil {
		// What came since the store decided on it is known here alone.
		by, known := l.inFlightSubmissions.After(m.topic(), *m.Order)
		if by != "" || !known {
			l.returnRedelivery(m, by)
			return
		}
	}
	if !l.destinations[m.Destination] || !l.journal.Reserve(m.Entry) {
		l.returnRedelivery(m, "")
		return
	}
	l.requests[m.ID] = m
	l.candidates = append(l.candidates, m)
	l.events = append(l.events, policy.Arrived{
		ID: m.ID, Class: l.class(m.Class), Destination: m.Destination, OrderKey: m.OrderKey, Background: true,
		TimeLeft: m.Deadline.Sub(l.timeline.Now()),
	})
}

// returnRedelivery tells the store that a resend never left, and by which newer message it was overtaken if it was.
func (l *loop) returnRedelivery(m *request, by string) {
	m.over = true
	if m.Order != nil {
		l.inFlightRedeliveries.Ended(m.ID, m.topic())
	}
	if l.requests[m.ID] == m {
		delete(l.requests, m.ID)
	}
	l.writer.addResult(deadletter.Result{Life: deadletter.Life{ID: m.ID}, Overtaken: by})
	l.acknowledged(m)
}

// decideRedelivery ends a resend: the store is told, and only then the journal lets go of it. by is the newer message that has
// overtaken it, for that end.
func (l *loop) decideRedelivery(m *request, status, by string) {
	if l.journal.Get(m.ID) != m.Entry { // refused at its arrival, before it was journalled
		l.returnRedelivery(m, by)
		return
	}
	if status != redeliveryDelivered { // that is noted with the call
		l.traceCompleted(m, status)
	}
	l.decideOutcome(m, status)
	reason := deadletter.Reason(by)
	if status != redeliveryDelivered && status != redeliverySuperseded {
		reason = l.reason(m, status)
	}
	l.journal.DecideOutcome(m.Entry, notification.Notice{ID: m.ID, Status: status}, string(reason), l.timeline.Now())
	m.outcomeRecord = l.journal.LastRecord()
	l.afterCommit(func() { l.publishOutcome(m) })
	l.acknowledged(m) // nobody but the store is told
}

// cancelSuperseded takes back resends of which a newer message came in this batch: those that would leave now do not, and those
// that are out are given up.
func (l *loop) cancelSuperseded() {
	for _, newer := range l.candidates {
		if newer.Order == nil || newer.Redelivery || newer.over || l.writer == nil {
			continue
		}
		for _, id := range l.inFlightRedeliveries.Before(newer.topic(), *newer.Order) {
			m := l.requests[id]
			if m == nil || m.over {
				continue
			}
			l.attempts = slices.DeleteFunc(l.attempts, func(s plannedAttempt) bool {
				if s.request == m {
					l.attemptNotSent(s)
				}
				return s.request == m
			})
			l.decideRedelivery(m, redeliverySuperseded, newer.ID)
			l.events = append(l.events, policy.Cancelled{ID: m.ID})
			l.wakeAt = 0 // the module has an event to act on
			if m.cancel != nil {
				l.immediately(m.cancel)
			}
		}
	}
}
