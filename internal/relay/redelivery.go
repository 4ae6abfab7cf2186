package relay

import (
	"slices"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
)

// admitRedelivery makes a request that the store offers for redelivery a candidate, or returns it to the store.
func (d *deadLetterLink) admitRedelivery(e *journal.Entry) {
	l := d.loop
	r := &request{Entry: e}
	if l.requests[r.ID] != nil {
		return
	}
	if r.Order != nil {
		// Only the loop has the requests that were submitted since the store decided on the redelivery.
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

// returnRedelivery returns a redelivery to the store before any attempt of it was made. newer is the id of the request that
// has superseded the redelivery, or "".
func (d *deadLetterLink) returnRedelivery(r *request, newer string) {
	r.transition(stateEvicted)
	if r.Order != nil {
		d.inFlightRedeliveries.Remove(r.ID, r.topic())
	}
	if d.loop.requests[r.ID] == r {
		delete(d.loop.requests, r.ID)
	}
	if d.loop.journal.Entry(r.ID) == r.Entry {
		// Its acceptance was noted but not written. The next commit would write it, and a later process would then redeliver the
		// request from the journal while the store offers it as well.
		d.loop.journal.Complete(r.Entry, d.loop.timeline.Now())
	}
	d.writer.queue.addResult(deadletter.Result{Incarnation: deadletter.Incarnation{ID: r.ID}, Overtaken: newer})
	d.loop.acknowledged(r)
}

// decideRedelivery decides a redelivery's terminal outcome. The journal drops the redelivery only after the store has recorded
// the outcome. newer is the id of the request that has superseded the redelivery, or "".
func (d *deadLetterLink) decideRedelivery(r *request, status, newer string) {
	l := d.loop
	if l.journal.Entry(r.ID) != r.Entry { // rejected before it was accepted
		d.returnRedelivery(r, newer)
		return
	}
	if status != redeliveryDelivered { // handleFinalResponse has traced a delivery
		l.traceCompleted(r, status)
	}
	l.decideOutcome(r, status)
	reason := deadletter.Reason(newer)
	if status != redeliveryDelivered && status != redeliverySuperseded {
		reason = l.failureReason(r, status)
	}
	l.recordOutcome(r, notification.Notice{ID: r.ID, Status: status}, reason, l.timeline.Now())
	l.afterCommit(func() { l.publishOutcome(r) })
	l.acknowledged(r) // the platform gets no notice of a redelivery
}

// cancelSuperseded ends each redelivery if a newer request on its topic was accepted in this batch: the redelivery's attempt
// is not started if it was planned in this batch, and is cancelled if it is in flight.
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

// supersede ends a redelivery because of a newer request on the same topic.
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
