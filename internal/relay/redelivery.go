package relay

import (
	"slices"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
)

// admitRedelivery has the dispatcher decide on a request that the store offers for redelivery.
func (d *deadLetterLink) admitRedelivery(e *journal.Entry) {
	l := d.loop
	r := &request{Entry: e}
	if l.requests[r.ID] != nil {
		return
	}
	if r.Order != nil {
		// What came since the store decided on the redelivery is known here alone.
		newer, known := d.inFlightSubmissions.NewestAfter(r.topic(), *r.Order)
		if newer != "" || !known {
			d.returnRedelivery(r, newer)
			return
		}
	}
	if !l.destinations[r.Destination] || !l.journal.Reserve(r.Entry) {
		d.returnRedelivery(r, "")
		return
	}
	l.addCandidate(r)
}

// returnRedelivery returns a redelivery to the store, of which no attempt was made; newer is the id of the request that has
// superseded it, if one has.
func (d *deadLetterLink) returnRedelivery(r *request, newer string) {
	r.transition(stateEvicted)
	if r.Order != nil {
		d.inFlightRedeliveries.Remove(r.ID, r.topic())
	}
	if d.loop.requests[r.ID] == r {
		delete(d.loop.requests, r.ID)
	}
	if d.loop.journal.Entry(r.ID) == r.Entry {
		// Its acceptance was noted and not written: the next commit would write it, and a later process redeliver it beside the store.
		d.loop.journal.Complete(r.Entry, d.loop.timeline.Now())
	}
	d.writer.queue.addResult(deadletter.Result{Incarnation: deadletter.Incarnation{ID: r.ID}, Overtaken: newer})
	d.loop.acknowledged(r)
}

// decideRedelivery decides a redelivery's terminal outcome: the store records it, and only then the journal drops it. newer is
// the id of the request that has superseded it, for that outcome.
func (d *deadLetterLink) decideRedelivery(r *request, status, newer string) {
	l := d.loop
	if l.journal.Entry(r.ID) != r.Entry { // rejected before it was accepted
		d.returnRedelivery(r, newer)
		return
	}
	if status != redeliveryDelivered { // that is traced with the attempt
		l.traceCompleted(r, status)
	}
	l.decideOutcome(r, status)
	reason := deadletter.Reason(newer)
	if status != redeliveryDelivered && status != redeliverySuperseded {
		reason = l.failureReason(r, status)
	}
	l.recordOutcome(r, notification.Notice{ID: r.ID, Status: status}, reason, l.timeline.Now())
	l.afterCommit(func() { l.publishOutcome(r) })
	l.acknowledged(r) // the platform is owed nothing
}

// cancelSuperseded cancels the redeliveries of which a newer request came in this batch: those that would start now do not,
// and those in flight are cancelled.
func (d *deadLetterLink) cancelSuperseded() {
	if d.writer == nil {
		return
	}
	for _, newer := range d.loop.candidates {
		if newer.Order == nil || newer.Redelivery || newer.completed() {
			continue
		}
		for _, id := range d.inFlightRedeliveries.OlderThan(newer.topic(), *newer.Order) {
			if r := d.loop.requests[id]; r != nil && !r.completed() {
				d.supersede(r, newer)
			}
		}
	}
}

// supersede ends a redelivery because of a newer request.
func (d *deadLetterLink) supersede(r, newer *request) {
	l := d.loop
	l.attempts = slices.DeleteFunc(l.attempts, func(p plannedAttempt) bool {
		if p.request == r {
			l.attemptNotSent(p)
		}
		return p.request == r
	})
	d.decideRedelivery(r, redeliverySuperseded, newer.ID)
	l.cancelRequest(r)
}
