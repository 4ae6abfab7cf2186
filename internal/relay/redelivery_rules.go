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
	"frostlink/internal/logkey"
	"frostlink/policy"
)

// RedeliveryClasses returns the settings' classes in the terms of the dead-letter store.
func (c *Config) RedeliveryClasses(section *deadletter.Section) (classes []deadletter.Class) {
	effects := map[policy.Idempotency]deadletter.Idempotency{
		policy.Idempotent: deadletter.Idempotent, policy.IdempotentByKey: deadletter.IdempotentByKey,
		policy.NotIdempotent: deadletter.NotIdempotent,
	}
	for _, class := range c.policy.Classes {
		if class.Retired {
			continue
		}
		hasSubject := slices.ContainsFunc(section.Subjects, func(s deadletter.Subject) bool { return s.Class == class.Name })
		classes = append(classes, deadletter.Class{
			Name: class.Name, Idempotency: effects[class.Idempotency], KeyTTL: class.KeyTTL,
			MaxAttempts: c.policy.MaxAttempts, HasSubject: hasSubject, ClientsResubmit: section.ClientsResubmit == nil || *section.ClientsResubmit,
		})
	}
	return classes
}

// newResender returns the core that decides what is redelivered. Where the rules differ from those that the store was used
// with last, it looks at all requests again.
func newResender(cfg *Config, store *deadletter.Store) *deadletter.Redeliverer {
	section := cfg.OperatorFile.DeadLetter
	classes := cfg.RedeliveryClasses(section)
	r := deadletter.NewRedeliverer(store, section.Rules, classes, cfg.Name, newRedeliveryID)
	rules, err := json.Marshal([]any{section.Rules, section.Subjects, section.StickySubjects, section.SubjectSettlingTime, classes})
	if err != nil {
		panic(err) // no rule that was read can fail
	}
	digest := sha256.Sum256(rules)
	if changed, err := store.SetRules(digest[:]); err != nil {
		slog.Error("comparing the redelivery rules with the last ones failed", logkey.Err, err)
	} else if changed {
		r.Sweep()
	}
	return r
}

// newRedeliveryID returns an id that no client uses: 96 random bits.
func newRedeliveryID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return "again-" + hex.EncodeToString(b[:])
}

// offerRedeliveries offers the loop what is due.
func (w *deadLetterWriter) offerRedeliveries(ctx context.Context) error {
	offers, err := w.resender.Round(w.now(), func(id string) bool { return w.isHeld(ctx, id) })
	if w.gate != nil {
		defer w.gate.End() // the round's offers are made by then
	}
	for _, o := range offers {
		body, bodyErr := w.deadLetters.Body(o.Record.ID)
		if bodyErr != nil {
			slog.Error("dead letter not redelivered: its body can't be read", logkey.Err, bodyErr)
			w.queue.addResult(deadletter.Result{Incarnation: deadletter.Incarnation{ID: o.Incarnation.ID}})
			continue
		}
		w.send(redeliveryOffered{redeliveryEntry(o, body)})
	}
	return err
}

// isHeld asks the loop whether it holds a redelivery under an id.
func (w *deadLetterWriter) isHeld(ctx context.Context, id string) bool {
	q := redeliveryQuery{id, make(chan bool, 1)}
	w.send(q)
	select {
	case held := <-q.held:
		return held
	case <-ctx.Done():
		return true // it is not the time to decide
	}
}

// redeliveryEntry returns the journal entry of a redelivery.
func redeliveryEntry(o deadletter.Offer, body []byte) *journal.Entry {
	return &journal.Entry{
		ID: o.Incarnation.ID, Class: o.Record.Class, Destination: o.Record.Destination, Tenant: o.Record.Tenant,
		IdempotencyKey: o.Record.IdempotencyKey, OrderKey: o.Record.OrderKey, Subject: o.Record.Subject, Order: o.Record.Order,
		AcceptedAt: clock.FromTime(o.Incarnation.AcceptedAt), Deadline: clock.FromTime(o.Incarnation.Deadline),
		Body: body, Redelivery: true,
	}
}
