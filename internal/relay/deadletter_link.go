package relay

import (
	"context"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/trace"
)

// deadLetterLink is the loop's side of the dead-letter store, a subsystem: it hands the writer what was not delivered, keeps
// requests in the journal until the store has them, and takes redeliveries in. Where the operator has turned the store off
// it has no writer; redeliveries that an earlier process left in the journal still end by it.
type deadLetterLink struct {
	loop   *loop
	writer *deadLetterWriter // nil: the store is off

	awaitingStore []*request // in the journal for the store alone, the oldest first
	dropped       int        // so many of them lost their place in the journal to new requests
	lastArrival   int64      // the last Order.Arrival

	// Requests with a subject whose outcome the store does not know yet.
	inFlightSubmissions  deadletter.InFlightMessages
	inFlightRedeliveries deadletter.InFlightMessages
}

var _ subsystem = (*deadLetterLink)(nil)

// newDeadLetterLink makes the loop's side of the store. Once ctx has ended the writer's events are dropped.
func newDeadLetterLink(ctx context.Context, l *loop) *deadLetterLink {
	d := &deadLetterLink{loop: l}
	if l.cfg.deadLetterSection() == nil {
		return d
	}
	d.lastArrival = l.journal.LastArrival()
	d.writer = newDeadLetterWriter(l.cfg, l.journal.Store(), l.timeline, func(e deadLetterEvent) {
		select {
		case l.inbox <- fromDeadLetterWriter{d, e}:
		case <-ctx.Done(): // nobody handles events any more
		}
	})
	return d
}

// openStore returns the store, or nil while there is none.
func (d *deadLetterLink) openStore() *deadletter.Store {
	if d.writer == nil {
		return nil
	}
	return d.writer.openStore.Load()
}

func (d *deadLetterLink) run(ctx context.Context) {
	if d.writer != nil {
		d.writer.run(ctx)
	}
}

func (d *deadLetterLink) settingsChanged(cfg *Config) {
	if d.writer != nil {
		d.writer.queue.setClasses(cfg.RedeliveryClasses(cfg.OperatorFile.DeadLetter))
	}
}

func (d *deadLetterLink) submitted(e *journal.Entry) {
	if d.writer == nil {
		e.Tenant, e.AcceptedAt = "", 0 // nobody will ask
	}
	if e.Order != nil {
		d.lastArrival = max(d.lastArrival+1, int64(d.loop.timeline.Now()))
		e.Order.Arrival = d.lastArrival
	}
}

// rejected records a request that was never accepted: the platform is owed nothing for it, and it was in no journal.
func (d *deadLetterLink) rejected(r *request, status string) {
	if d.writer != nil && !r.Redelivery {
		d.writer.queue.addRejected(r.record(d.rejectedLife(r, status)))
	}
}

// accepted notes what a request is about, where the operator says where its class tells that.
func (d *deadLetterLink) accepted(r *request) {
	switch {
	case r.Order == nil || d.writer == nil:
	case r.Redelivery:
		d.inFlightRedeliveries.Add(r.ID, r.topic(), *r.Order)
	default:
		d.inFlightSubmissions.Add(r.ID, r.topic(), *r.Order)
	}
}

func (d *deadLetterLink) acceptanceNotWritten(r *request) {
	if r.Redelivery {
		d.returnRedelivery(r, "")
	}
}

func (d *deadLetterLink) claimOutcome(r *request, status string) (claimed bool) {
	final := status == trace.Delivered || status == trace.Withdrawn
	switch {
	case status == trace.Withdrawn && d.writer != nil:
		d.decideWithdrawn(r)
	case r.Redelivery && final:
		d.decideRedelivery(r, redeliveryDelivered, "")
	case r.Redelivery:
		d.decideRedelivery(r, status, "")
	case status == trace.Delivered && r.Order != nil && d.writer != nil:
		d.decideDelivered(r)
	default:
		return false
	}
	return true
}

// decideWithdrawn ends a request of which an endpoint says that it needs no more attempts, though it was not delivered.
func (d *deadLetterLink) decideWithdrawn(r *request) {
	l := d.loop
	now := l.timeline.Now()
	switch {
	case r.Redelivery:
		d.decideRedelivery(r, expiredAtEndpoint, "")
	case now > r.Deadline.Add(-deadlineMargin):
		l.decideOutcome(r, expiredAtEndpoint)
		l.recordOutcome(r, notification.Notice{ID: r.ID, Status: expiredAtEndpoint}, deadletter.DeadlineExceeded, now)
		l.afterCommitOrBy(r.Deadline, func() { l.publishOutcome(r) })
	default: // its client has withdrawn it
		l.evict(r)
	}
}

// decideDelivered ends a request with a subject that was delivered. It stays in the journal until the store knows that
// nothing older of its topic may be delivered after it.
func (d *deadLetterLink) decideDelivered(r *request) {
	l := d.loop
	l.decideOutcome(r, trace.Delivered)
	l.journal.MarkDelivered(r.Entry)
	l.afterCommit(func() { l.publishDelivered(r) })
}

func (d *deadLetterLink) publish(r *request) (awaited bool) {
	switch {
	case d.writer == nil:
		return false
	case r.PendingNotice == nil: // delivered
		d.awaitingStore = append(d.awaitingStore, r)
		d.writer.queue.addDelivered(deadletter.Delivery{ID: r.ID, Topic: r.topic(), Order: *r.Order})
	case r.Redelivery:
		d.writer.queue.addResult(d.result(r))
	default:
		if r.PendingNotice.Status == expiredAtEndpoint {
			d.loop.notified(r) // the platform is owed no notice
		}
		d.writer.queue.addRecord(r.record(d.life(r)))
	}
	return true
}

func (d *deadLetterLink) notified(r *request) (awaited bool) {
	if d.writer == nil || r.inDeadLetters {
		return false
	}
	if r.state != stateNotified {
		d.awaitingStore = append(d.awaitingStore, r)
	}
	return true
}

// requestStored notes that the store has a request, or knows of its delivery.
func (d *deadLetterLink) requestStored(r *request) {
	r.inDeadLetters = true
	d.inFlightSubmissions.Remove(r.ID, r.topic()) // from now on the store says what waits
	if r.state == stateNotified || r.Redelivery || r.Delivered {
		d.loop.evict(r)
	}
	d.trimAwaitingStore()
}

func (d *deadLetterLink) evicted(r *request) {
	if r.Order != nil {
		d.inFlightSubmissions.Remove(r.ID, r.topic())
		d.inFlightRedeliveries.Remove(r.ID, r.topic())
	}
}

// trimAwaitingStore drops the requests at the head of the list that the store has.
func (d *deadLetterLink) trimAwaitingStore() {
	for len(d.awaitingStore) > 0 && d.awaitingStore[0].inDeadLetters {
		d.awaitingStore = d.awaitingStore[1:]
	}
}

// freeJournalSpace evicts the oldest request that only waits for the store. Its record is lost; the store lists it.
func (d *deadLetterLink) freeJournalSpace() (freed bool) {
	d.trimAwaitingStore()
	if len(d.awaitingStore) == 0 {
		return false
	}
	r := d.awaitingStore[0]
	d.awaitingStore = d.awaitingStore[1:]
	d.dropped++
	d.loop.journal.SetStore("") // until the store knows that something is missing
	d.writer.queue.addLost(r)
	d.loop.evict(r)
	return true
}

func (d *deadLetterLink) beforeCommit() { d.cancelSuperseded() }
