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

// RedeliveryClasses returns the settings' classes as the dead-letter store represents them. Retired classes are left out.
func (c *Config) RedeliveryClasses(section *deadletter.Section) (classes []deadletter.Class) {
	idempotency := map[policy.Idempotency]deadletter.Idempotency{
		policy.Idempotent: deadletter.Idempotent, policy.IdempotentByKey: deadletter.IdempotentByKey,
		policy.NotIdempotent: deadletter.NotIdempotent,
	}
	for _, class := range c.policy.Classes {
		if class.Retired {
			continue
		}
		hasSubject := slices.ContainsFunc(section.Subjects, func(s deadletter.Subject) bool { return s.Class == class.Name })
		classes = append(classes, deadletter.Class{
			Name: class.Name, Idempotency: idempotency[class.Idempotency], KeyTTL: class.KeyTTL,
			MaxAttempts: c.policy.MaxAttempts, HasSubject: hasSubject, ClientsResubmit: section.ClientsResubmit == nil || *section.ClientsResubmit,
		})
	}
	return classes
}

// newRedeliverer returns the redeliverer, which decides what is redelivered. If the rules differ from the rules with which
// the store was last used, the redeliverer decides again on all held requests.
func newRedeliverer(cfg *Config, store *deadletter.Store) *deadletter.Redeliverer {
	section := cfg.OperatorFile.DeadLetter
	classes := cfg.RedeliveryClasses(section)
	r := deadletter.NewRedeliverer(store, section.Rules, classes, cfg.Name, newRedeliveryID)
	rules, err := json.Marshal([]any{section.Rules, section.Subjects, section.StickySubjects, section.SubjectSettlingTime, classes})
	if err != nil {
		panic(err) // not reached: rules that were read from a file can be encoded
	}
	digest := sha256.Sum256(rules)
	if changed, err := store.SetRules(digest[:]); err != nil {
		slog.Error("comparison of the redelivery rules with the previous rules failed", logkey.Err, err)
	} else if changed {
		r.Sweep()
	}
	return r
}

// newRedeliveryID returns an id that no client uses: a prefix and 96 random bits.
func newRedeliveryID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return "again-" + hex.EncodeToString(b[:])
}

// offerRedeliveries offers the loop the redeliveries that are due.
func (w *deadLetterWriter) offerRedeliveries(ctx context.Context) error {
	offers, err := w.redeliverer.Round(w.now(), func(id string) bool { return w.isHeld(ctx, id) })
	if w.gate != nil {
		defer w.gate.End() // after all offers of this round are sent to the loop
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

// isHeld asks the loop whether it holds a redelivery with an id.
func (w *deadLetterWriter) isHeld(ctx context.Context, id string) bool {
	q := redeliveryQuery{id, make(chan bool, 1)}
	w.send(q)
	select {
	case held := <-q.held:
		return held
	case <-ctx.Done():
		return true // the process ends: the store makes no decision on this redelivery
	}
}

// redeliveryEntry returns the journal entry of a redelivery.
func redeliveryEntry(o deadletter.Offer, body []byte) *journal.Entry {
	return &journal.Entry{
		ID: o.Incarnation.ID, Class: o.Record.Class, Destination: o.Record.Destination, Tenant: o.Record.Tenant,
		IdempotencyKey: o.Record.IdempotencyKey, OrderKey: o.Record.OrderKey, Subject: o.Record.Subject, Order: o.Record.Order,
		AcceptedAt: clock.FromTime(o.Incarnation.AcceptedAt), Deadline: clock.FromTime(o.Incarnation.Deadline),
		Body: body, Redelivery: true, EarlierAttempts: earlierAttempts(o.Record),
	}
}

// earlierAttempts returns the attempts of a dead letter as the journal represents them.
func earlierAttempts(r *deadletter.Record) (attempts []journal.Attempt) {
	for _, a := range r.EarlierAttempts() {
		attempts = append(attempts, journal.Attempt{
			Endpoint: a.Endpoint, StartedAt: clock.FromTime(a.StartedAt), Ended: true, NotExecuted: a.Execution == deadletter.NotExecuted,
		})
	}
	return attempts
}
