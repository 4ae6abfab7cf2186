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

// request is the loop's state of a request.
type request struct {
	*journal.Entry
	state         requestState
	responses     []chan frontend.Response // to its submissions, until they are answered
	retryInfo     string                   // the client's description of an earlier submission, for the trace
	acceptedTerms *policy.Class            // the terms of its class when it was accepted; read from the journal at the first use
	outcomeRecord uint64                   // the number of its terminal outcome's record in the journal
	recovered     bool                     // accepted by an earlier process
	inDeadLetters bool                     // the dead-letter store has recorded the request or its delivery
	// likelyDelivered is set if an attempt most likely delivered the request. That counts unless another attempt delivers it.
	likelyDelivered bool

	// The latest attempt.
	attempt          plannedAttempt
	attemptStarted   time.Time
	attemptInFlight  bool               // planned, and its end has not reached the loop
	attemptsEnded    bool               // a response of this process's attempts forbids further ones
	cancel           context.CancelFunc // cancels the attempt; nil while no goroutine runs it
	cancelBeforeSend *atomic.Bool       // cancels the attempt unless a byte of it has been sent

	// Whether the metrics have counted the request.
	countedInFlight    bool
	countedCompleted   bool
	countedUnconfirmed bool // completed, because of an unconfirmed delivery
}

// topic returns the topic under which the dead-letter store orders the request: class, destination and subject.
func (r *request) topic() deadletter.Topic {
	return deadletter.Topic{Class: r.Class, Destination: r.Destination, Subject: r.Subject}
}
