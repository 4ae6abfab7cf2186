package relay

import (
	"frostlink/internal/journal"
	"frostlink/internal/trace"
)

// deadLetterEvent is what the dead-letter writer reports to the loop's side of the store.
type deadLetterEvent interface {
	// applyTo takes the event in. The loop's goroutine calls it.
	applyTo(d *deadLetterLink)
}

// fromDeadLetterWriter carries an event of the dead-letter writer through the loop's inbox.
type fromDeadLetterWriter struct {
	link  *deadLetterLink
	event deadLetterEvent
}

func (e fromDeadLetterWriter) apply(*loop) { e.event.applyTo(e.link) }

// requestsStored says that the store has requests, or knows that they were delivered.
type requestsStored struct{ ids []string }

func (e requestsStored) applyTo(d *deadLetterLink) {
	for _, id := range e.ids {
		if r := d.loop.requests[id]; r != nil && (r.PendingNotice != nil || r.Delivered) {
			d.requestStored(r)
		}
	}
}

// storeSynced says which store knows from now on all that is delivered.
type storeSynced struct {
	store   string
	dropped int // of the requests that the journal had no room for, those that the store knows of
}

func (e storeSynced) applyTo(d *deadLetterLink) {
	if e.dropped == d.dropped {
		d.loop.journal.SetStore(e.store)
	}
}

// redeliveryOffered is a request of the store that is due to be redelivered, under a new id.
type redeliveryOffered struct{ entry *journal.Entry }

func (e redeliveryOffered) applyTo(d *deadLetterLink) { d.admitRedelivery(e.entry) }

// redeliveryQuery asks whether a redelivery is held under an id.
type redeliveryQuery struct {
	id   string
	held chan bool // room for one
}

func (e redeliveryQuery) applyTo(d *deadLetterLink) {
	r := d.loop.requests[e.id]
	e.held <- r != nil && r.Redelivery
}

// The terminal outcomes of redeliveries, which the store records. The platform is notified of none.
const (
	redeliveryDelivered  = trace.Delivered
	redeliverySuperseded = "overtaken"
)
