package relay

import (
	"frostlink/internal/journal"
	"frostlink/internal/trace"
)

// deadLetterEvent is an event that the dead-letter writer sends to the loop's side of the store.
type deadLetterEvent interface {
	// applyTo applies the event to the link's state. The loop's goroutine calls it.
	applyTo(d *deadLetterLink)
}

// fromDeadLetterWriter carries an event of the dead-letter writer through the loop's inbox.
type fromDeadLetterWriter struct {
	link  *deadLetterLink
	event deadLetterEvent
}

func (e fromDeadLetterWriter) apply(*loop) { e.event.applyTo(e.link) }

// requestsStored says that the store has recorded requests, or their deliveries.
type requestsStored struct{ ids []string }

func (e requestsStored) applyTo(d *deadLetterLink) {
	for _, id := range e.ids {
		if r := d.loop.requests[id]; r != nil && (r.PendingNotice != nil || r.Delivered) {
			d.requestStored(r)
		}
	}
}

// storeSynced names the store whose record of deliveries stays complete from now on: each delivery stays in the journal until
// that store has recorded it.
type storeSynced struct {
	store   string
	dropped int // number of requests that were dropped from the journal unrecorded and that the store has taken into account
}

func (e storeSynced) applyTo(d *deadLetterLink) {
	if e.dropped == d.dropped {
		d.loop.journal.SetStore(e.store)
	}
}

// redeliveryOffered carries a request of the store that is due for redelivery, under a new id.
type redeliveryOffered struct{ entry *journal.Entry }

func (e redeliveryOffered) applyTo(d *deadLetterLink) { d.admitRedelivery(e.entry) }

// redeliveryQuery asks whether the loop holds a redelivery with an id.
type redeliveryQuery struct {
	id   string
	held chan bool // buffers the answer
}

func (e redeliveryQuery) applyTo(d *deadLetterLink) {
	r := d.loop.requests[e.id]
	e.held <- r != nil && r.Redelivery
}

// Terminal outcomes of redeliveries. The store records them; the platform gets no notice of a redelivery.
const (
	redeliveryDelivered  = trace.Delivered
	redeliverySuperseded = "overtaken"
)
