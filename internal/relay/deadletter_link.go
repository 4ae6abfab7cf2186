package relay

import (
	"frostlink/internal/deadletter"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// deadLetterStore gives the store of undelivered messages, or nil while there is none.
func (l *loop) deadLetterStore() *deadletter.Store {
	if l.writer == nil {
		return nil
	}
	return l.writer.openStore.Load()
}

// deadLetterLife is what this relay knows of one time that a message was taken on.
func (l *loop) deadLetterLife(m *request) deadletter.Life {
	life := deadletter.Life{
		ID: m.ID, Relay: l.cfg.Name, Taken: m.AcceptedAt.Time(), Expires: m.Deadline.Time(), Over: m.CompletedAt.Time(),
		Reason: deadletter.Reason(m.Reason), Status: m.PendingNotice.Status,
	}
	if life.Taken.IsZero() { // taken on by a process that kept no undelivered messages
		life.Taken = life.Over
	}
	for _, a := range m.Attempts {
		ran := deadletter.May // also of one that was out when a process ended
		switch {
		case a.Ended && a.NotExecuted:
			ran = deadletter.Never
		case a.Outcome == outcomeNames[policy.Succeeded]:
			ran = deadletter.Did
		}
		life.Attempts = append(life.Attempts, deadletter.Attempt{Host: a.Endpoint, Begun: a.StartedAt.Time(), Ended: a.EndedAt.Time(), Outcome: a.Outcome, Ran: ran})
	}
	return life
}

// deadLetterRecord makes the store's record of a message that is over.
func (l *loop) deadLetterRecord(m *request, life deadletter.Life) deadletter.Kept {
	return deadletter.Kept{
		Record: deadletter.Record{
			ID: m.ID, Class: m.Class, Tenant: m.Tenant, Partner: m.Destination, Key: m.IdempotencyKey, Item: m.OrderKey,
			Subject: m.Subject, Order: m.Order, Lives: []deadletter.Life{life}, State: deadletter.Held, Since: life.Over, Due: life.Over,
		},
		Body: m.Body,
	}
}

// recordRejected tells the store of a message that is refused at its arrival: it owes the platform nothing, and was in no
// journal.
func (l *loop) recordRejected(m *request, status string) {
	if l.writer == nil || m.Redelivery {
		return
	}
	l.writer.recordRejected(l.deadLetterRecord(m, deadletter.Life{
		ID: m.ID, Relay: l.cfg.Name, Taken: m.AcceptedAt.Time(), Expires: m.Deadline.Time(),
		Over:   l.timeline.Now().Time(),
		Reason: deadletter.AtArrival, Status: status,
	}))
}

// expiredAtEndpoint is the end of a message of which the platform says that its time is up: nothing more is owed for it, and the
// store is told alone.
const expiredAtEndpoint = "out-of-time"

// withdrawn ends a message of which a host says that it is over, though it was not delivered.
func (l *loop) withdrawn(m *request) {
	now := l.timeline.Now()
	switch {
	case m.Redelivery:
		l.decideRedelivery(m, expiredAtEndpoint, "")
	case now > m.Deadline.Add(-deadlineMargin):
		l.decideOutcome(m, expiredAtEndpoint)
		l.journal.DecideOutcome(m.Entry, notification.Notice{ID: m.ID, Status: expiredAtEndpoint}, string(deadletter.OutOfTime), now)
		m.outcomeRecord = l.journal.LastRecord()
		l.afterCommitOrBy(m.Deadline, func() { l.publishOutcome(m) })
	default: // its client has withdrawn it
		l.evict(m)
	}
}

// noticed notes that the platform has a message's notice: it leaves the journal once the store has it too.
func (l *loop) noticed(m *request) {
	if l.writer == nil || m.kept {
		l.evict(m)
		return
	}
	if !m.noticed {
		m.noticed = true
		l.awaitingStore = append(l.awaitingStore, m)
	}
}

// deadLetterStored notes that the store has a message.
func (l *loop) deadLetterStored(m *request) {
	m.kept = true
	l.inFlightSubmissions.Ended(m.ID, m.topic()) // the store says now what waits
	if m.noticed || m.Redelivery || m.Delivered {
		l.evict(m)
	}
	for len(l.awaitingStore) > 0 && l.awaitingStore[0].kept {
		l.awaitingStore = l.awaitingStore[1:]
	}
}

// trackSubject notes what a message that was taken on is about, where the operator says where that stands.
func (l *loop) trackSubject(m *request) {
	switch {
	case m.Order == nil || l.writer == nil:
	case m.Redelivery:
		l.inFlightRedeliveries.Taken(m.ID, m.topic(), *m.Order)
	default:
		l.inFlightSubmissions.Taken(m.ID, m.topic(), *m.Order)
	}
}

// publishDelivered has the store know of a message of a topic that was delivered; until it does the journal holds it.
func (l *loop) publishDelivered(m *request) {
	if l.writer == nil {
		l.evict(m)
		return
	}
	l.awaitingStore = append(l.awaitingStore, m)
	l.writer.noteDelivered(deadletter.Note{ID: m.ID, Topic: m.topic(), Order: *m.Order})
}
