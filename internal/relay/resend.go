package relay

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// delivered and overtaken are ends of a resend that the store is told; the platform never hears of them.
const delivered, overtaken = "delivered", "overtaken"

// The events of resends.
type (
	// resend is an undelivered message that is to be sent again, under a new id.
	resend struct {
		entry *journal.Entry
	}
	// holds asks whether a resend is held under an id.
	holds struct {
		id     string
		answer chan bool // room for one
	}
)

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

// checkOwn checks the operator's file against the platform's configuration.
func (cfg *Config) checkOwn() error {
	if cfg.Own == nil || cfg.Own.Undelivered == nil {
		return nil
	}
	var errs []error
	for i, r := range cfg.Own.Undelivered.Rules {
		for _, fault := range r.Against(cfg.ResendClasses(cfg.Own.Undelivered)) {
			errs = append(errs, fmt.Errorf("the operator's file: undelivered.rule[%d]: %s", i+1, fault))
		}
	}
	return errors.Join(errs...)
}

// newResender makes the core that decides what is resent.
func newResender(cfg *Config, store *deadletter.Store) *deadletter.Resender {
	r := deadletter.NewResender(store, cfg.Own.Undelivered.Rules, cfg.ResendClasses(cfg.Own.Undelivered), cfg.Name, newID)
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

// newID makes an id that no client uses: a hundred bits by chance.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return "again-" + hex.EncodeToString(b[:])
}

// resend offers the loop what is due.
func (k *keeper) resend(ctx context.Context) error {
	offers, err := k.resender.Round(k.now(), func(id string) bool {
		q := holds{id, make(chan bool, 1)}
		k.offer(q)
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
		body, bodyErr := k.store.Body(o.Record.ID)
		if bodyErr != nil {
			slog.Error("an undelivered message is not resent", "err", bodyErr)
			k.result(deadletter.Result{Life: deadletter.Life{ID: o.Life.ID}})
			continue
		}
		k.offer(resend{&journal.Entry{
			ID: o.Life.ID, Class: o.Record.Class, Destination: o.Record.Partner, Tenant: o.Record.Tenant,
			IdempotencyKey: o.Record.Key, OrderKey: o.Record.Item, Subject: o.Record.Subject, Order: o.Record.Order, AcceptedAt: clock.FromTime(o.Life.Taken), Deadline: clock.FromTime(o.Life.Expires),
			Body: body, Redelivery: true,
		}})
	}
	return err
}

// resend hands a message from the store to the module, behind all that is fresh.
func (l *loop) resend(r resend) {
	m := &message{Entry: r.entry}
	if l.messages[m.ID] != nil {
		return
	}
	if m.Order != nil {
		// What came since the store decided on it is known here alone.
		by, known := l.underway.After(m.topic(), *m.Order)
		if by != "" || !known {
			l.giveBack(m, by)
			return
		}
	}
	if !l.dests[m.Destination] || !l.journal.Reserve(m.Entry) {
		l.giveBack(m, "")
		return
	}
	l.messages[m.ID] = m
	l.fresh = append(l.fresh, m)
	l.events = append(l.events, policy.Arrived{
		ID: m.ID, Class: l.class(m.Class), Destination: m.Destination, OrderKey: m.OrderKey, Background: true,
		TimeLeft: m.Deadline.Sub(l.timeline.Now()),
	})
}

// giveBack tells the store that a resend never left, and by which newer message it was overtaken if it was.
func (l *loop) giveBack(m *message, by string) {
	m.over = true
	if m.Order != nil {
		l.again.Ended(m.ID, m.topic())
	}
	if l.messages[m.ID] == m {
		delete(l.messages, m.ID)
	}
	l.keeper.result(deadletter.Result{Life: deadletter.Life{ID: m.ID}, Overtaken: by})
	l.settled(m)
}

// endResend ends a resend: the store is told, and only then the journal lets go of it. by is the newer message that has
// overtaken it, for that end.
func (l *loop) endResend(m *message, status, by string) {
	if l.journal.Get(m.ID) != m.Entry { // refused at its arrival, before it was journalled
		l.giveBack(m, by)
		return
	}
	if status != delivered { // that is noted with the call
		l.traceEnd(m, status)
	}
	l.decide(m, status)
	reason := deadletter.Reason(by)
	if status != delivered && status != overtaken {
		reason = l.reason(m, status)
	}
	l.journal.DecideOutcome(m.Entry, notification.Notice{ID: m.ID, Status: status}, string(reason), l.timeline.Now())
	m.outcome = l.journal.LastRecord()
	l.after(func() { l.tellEnd(m) })
	l.settled(m) // nobody but the store is told
}

// begun notes what a message that was taken on is about, where the operator says where that stands.
func (l *loop) begun(m *message) {
	switch {
	case m.Order == nil || l.keeper == nil:
	case m.Redelivery:
		l.again.Taken(m.ID, m.topic(), *m.Order)
	default:
		l.underway.Taken(m.ID, m.topic(), *m.Order)
	}
}

// overtake takes back resends of which a newer message came in this batch: those that would leave now do not, and those
// that are out are given up.
func (l *loop) overtake() {
	for _, newer := range l.fresh {
		if newer.Order == nil || newer.Redelivery || newer.over || l.keeper == nil {
			continue
		}
		for _, id := range l.again.Before(newer.topic(), *newer.Order) {
			m := l.messages[id]
			if m == nil || m.over {
				continue
			}
			l.sends = slices.DeleteFunc(l.sends, func(s send) bool {
				if s.m == m {
					l.unsent(s)
				}
				return s.m == m
			})
			l.endResend(m, overtaken, newer.ID)
			l.events = append(l.events, policy.Cancelled{ID: m.ID})
			l.wakeAt = 0 // the module has an event to act on
			if m.cancel != nil {
				l.promptly(m.cancel)
			}
		}
	}
}

// tellDelivered has the store know of a message of a topic that was delivered; until it does the journal holds it.
func (l *loop) tellDelivered(m *message) {
	if l.keeper == nil {
		l.end(m)
		return
	}
	l.unkept = append(l.unkept, m)
	l.keeper.note(deadletter.Note{ID: m.ID, Topic: m.topic(), Order: *m.Order})
}
