package relay

import (
	"context"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/trace"
)

// deadLetterLink is the loop's side of the dead-letter store, a subsystem: it passes undelivered requests to the writer, keeps
// requests in the journal until the store has recorded them, and admits redeliveries. If the operator has turned the store
// off, deadLetterLink has no writer, but still ends the redeliveries that an earlier process left in the journal.
type deadLetterLink struct {
	loop   *loop
	writer *deadLetterWriter // nil if the store is off

	awaitingStore []*request // requests that are in the journal only for the store, the oldest first
	dropped       int        // number of such requests that were evicted to free journal space for new requests
	lastArrival   int64      // the last Order.Arrival assigned

	// Requests with a subject whose outcome the store has not recorded yet.
	inFlightSubmissions  deadletter.InFlightMessages
	inFlightRedeliveries deadletter.InFlightMessages
}

var _ subsystem = (*deadLetterLink)(nil)

// newDeadLetterLink returns the loop's side of the store. After ctx has ended, events of the writer may be dropped.
func newDeadLetterLink(ctx context.Context, l *loop) *deadLetterLink {
	d := &deadLetterLink{loop: l}
	if l.cfg.deadLetterSection() == nil {
		return d
	}
	d.lastArrival = l.journal.LastArrival()
	d.writer = newDeadLetterWriter(l.cfg, l.journal.Store(), l.timeline, func(e deadLetterEvent) {
		select {
		case l.inbox <- fromDeadLetterWriter{d, e}:
		case <-ctx.Done(): // the loop has stopped handling events
		}
	})
	return d
}

// openStore returns the store, or nil if it is off or not open yet.
func (d *deadLetterLink) openStore() *deadletter.Store {
	if d.writer == nil {
		return nil
	}
	return d.writer.openStore.Load()
}

// ruleConflicts returns the number of conflicts of the redelivery rules with the settings. Any goroutine may call it.
func (d *deadLetterLink) ruleConflicts() int64 {
	if d.writer == nil {
		return 0
	}
	return d.writer.ruleConflicts.Load()
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
		e.Tenant, e.AcceptedAt = "", 0 // only the store uses them
	}
	if e.Order != nil {
		d.lastArrival = max(d.lastArrival+1, int64(d.loop.timeline.Now()))
		e.Order.Arrival = d.lastArrival
	}
}

// rejected queues for the store a request that was never accepted. The request is in no journal and needs no notice.
func (d *deadLetterLink) rejected(r *request, status string) {
	if d.writer != nil && !r.Redelivery {
		d.writer.queue.addRejected(r.record(d.rejectedIncarnation(r, status)))
	}
}

// accepted tracks a request as in flight for its topic, if the operator's file says where requests of its class carry their
// subject.
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

// decideWithdrawn ends an undelivered request for which an endpoint has reported that no further attempt is needed.
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
	default: // the client has withdrawn it
		l.evict(r)
	}
}

// decideDelivered ends a request with a subject that was delivered. It stays in the journal until the store has recorded the
// delivery, after which the store redelivers no older request of its topic.
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
	case r.PendingNotice == nil && r.Order == nil: // a delivery that the store need not know of
		return false
	case r.PendingNotice == nil: // delivered
		d.awaitingStore = append(d.awaitingStore, r)
		d.writer.queue.addDelivered(deadletter.Delivery{ID: r.ID, Topic: r.topic(), Order: *r.Order})
	case r.Redelivery:
		d.writer.queue.addResult(d.result(r))
	default:
		if r.PendingNotice.Status == expiredAtEndpoint {
			d.loop.notified(r) // the platform gets no notice of this outcome
		}
		d.writer.queue.addRecord(r.record(d.incarnation(r)))
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

// requestStored notes that the store has recorded a request or its delivery, and evicts the request unless its notice is pending.
func (d *deadLetterLink) requestStored(r *request) {
	r.inDeadLetters = true
	d.inFlightSubmissions.Remove(r.ID, r.topic()) // from now on the store tracks the request
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

// trimAwaitingStore drops the requests at the head of awaitingStore that the store has recorded.
func (d *deadLetterLink) trimAwaitingStore() {
	for len(d.awaitingStore) > 0 && d.awaitingStore[0].inDeadLetters {
		d.awaitingStore = d.awaitingStore[1:]
	}
}

// freeJournalSpace evicts the oldest request that is in the journal only for the store. If the request was not delivered, its
// record is lost, and the store will list its id as lost.
func (d *deadLetterLink) freeJournalSpace() (freed bool) {
	d.trimAwaitingStore()
	if len(d.awaitingStore) == 0 {
		return false
	}
	r := d.awaitingStore[0]
	d.awaitingStore = d.awaitingStore[1:]
	d.dropped++
	d.loop.journal.SetStore("") // until storeSynced says that the store has taken the eviction into account
	d.writer.queue.addLost(r)
	d.loop.evict(r)
	return true
}

func (d *deadLetterLink) beforeCommit() { d.cancelSuperseded() }
