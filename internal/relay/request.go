package relay

import (
	"context"
	"sync/atomic"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// decideOutcome decides a message's terminal outcome; it has one only. Callers leave messages alone that are over.
func (l *loop) decideOutcome(m *request, outcome string) {
	if m.over {
		l.violations.Record(invariant.CompletedTwice, m.ID, "destination", m.Destination, "outcome", outcome)
	}
	m.over = true
}

// request is what the loop holds of a message taken on.
type request struct {
	*journal.Entry
	responses        []chan frontend.Response // of the requests that brought it, until they are answered
	cancel           context.CancelFunc       // of the call out; nil while there is none
	attempt          plannedAttempt           // that call
	cancelBeforeSend *atomic.Bool             // takes it back, where nothing of it has left
	attemptStarted   time.Time                // when it did
	retryInfo        string                   // what its client says of an earlier hand-in
	over             bool                     // ended, but a call is still out
	attemptInFlight  bool                     // an attempt was decided on whose end the loop has not heard
	acceptedTerms    *policy.Class            // of its class as it was accepted, once they were asked for
	outcomeRecord    uint64                   // the number of the record of its terminal outcome
	recovered        bool                     // taken on by an earlier process
	noticed          bool                     // the platform has its notice, and it waits for the store
	kept             bool                     // the store of undelivered messages has it
	countedInFlight  bool                     // the figures count it as taken on
	countedCompleted bool                     // the figures have its end
}

// topic is what a message is about.
func (m *request) topic() deadletter.Topic {
	return deadletter.Topic{Class: m.Class, Partner: m.Destination, Subject: m.Subject}
}

// evict notes that nothing more is owed for a message.
func (l *loop) evict(m *request) {
	m.over = true
	if m.Order != nil {
		l.inFlightSubmissions.Ended(m.ID, m.topic())
		l.inFlightRedeliveries.Ended(m.ID, m.topic())
	}
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.Complete(m.Entry, l.timeline.Now())
	}
	m.PendingNotice = nil
	if m.cancel == nil {
		delete(l.requests, m.ID)
	}
}

// acknowledged tells the module that the end which it gave a message of a class in order is known where it is owed: only then
// the next one of its item may go. A call that overtakes the notice of the message before it is a call out of turn.
func (l *loop) acknowledged(m *request) {
	if m.OrderKey != "" {
		l.events = append(l.events, policy.Acknowledged{ID: m.ID})
		l.wakeAt = 0 // the module has an event to act on
	}
}
