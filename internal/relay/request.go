package relay

import (
	"context"
	"sync/atomic"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// request is what the loop holds of a request.
type request struct {
	*journal.Entry
	state         requestState
	responses     []chan frontend.Response // of the submissions that brought it, until they are answered
	retryInfo     string                   // what its client says of an earlier submission
	acceptedTerms *policy.Class            // of its class as it was accepted, once they were asked for
	outcomeRecord uint64                   // the number of the record of its terminal outcome
	recovered     bool                     // accepted by an earlier process
	inDeadLetters bool                     // the dead-letter store has it, or knows of its delivery

	// Its latest attempt.
	attempt          plannedAttempt
	attemptStarted   time.Time
	attemptInFlight  bool               // decided on, and the loop does not know its end
	cancel           context.CancelFunc // ends it; nil while no goroutine makes one
	cancelBeforeSend *atomic.Bool       // ends it where no byte of it has left

	// What the metrics have counted of it.
	countedInFlight  bool
	countedCompleted bool
}

// topic is what a request is about.
func (r *request) topic() deadletter.Topic {
	return deadletter.Topic{Class: r.Class, Destination: r.Destination, Subject: r.Subject}
}
