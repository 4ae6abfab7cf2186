package relay

import (
	"context"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// restore initializes the loop's state from the journal and from the newest known endpoint list. predecessor is the state that
// another process has handed over in addition to the journal, or nil.
func (l *loop) restore(ctx context.Context, predecessor *handoverState) {
	list := l.latestEndpointList()
	list.Full = true
	list = l.boundEndpoints(list)
	l.traceEvent(trace.Event{Kind: trace.RelayStarted, Relay: l.cfg.Name, Count: l.cfg.Settings.Instances})
	l.updateEndpoints(list)
	l.journal.UpdateEndpoints(list, l.cfg.Discovery) // the watch may bring only changes of this list
	l.watch.Seq = list.Seq
	if l.journal.Failed() { // the journal could not be written when it was opened
		l.folder.WriteFailed(l.now())
		l.folderDegraded(true)
	}
	if predecessor != nil {
		l.events = append(l.events, policy.SnapshotRestored{Snapshot: predecessor.Snapshot})
		for _, e := range predecessor.Completed {
			l.journal.AddCompleted(journal.CompletedRequest{ID: e.ID, At: e.At})
		}
	}
	for _, e := range l.journal.Entries() {
		l.recoverRequest(ctx, e, predecessor)
	}
	l.step(ctx)
}

// latestEndpointList returns the newer of the list in the journal and the list in the configuration.
func (l *loop) latestEndpointList() discovery.EndpointList {
	configured := l.cfg.KnownEndpoints
	journalled, from := l.journal.Endpoints()
	switch {
	case journalled == nil:
		return configured
	case from != l.cfg.Discovery: // versions of different discovery services can't be compared
		list := *journalled
		list.Seq = 0
		return list
	case journalled.Seq >= configured.Seq:
		// The configuration's list may be older than the list that an earlier process received. An endpoint that drains in the
		// received list must not get new requests from this process either. The configuration's list may also be newer, since
		// the platform keeps receiving lists while no process runs.
		return *journalled
	}
	return configured
}

// recoverRequest resumes a request that an earlier process accepted.
func (l *loop) recoverRequest(ctx context.Context, e *journal.Entry, predecessor *handoverState) {
	r := &request{Entry: e, state: stateAccepted, recovered: true}
	l.requests[e.ID] = r
	if l.journal.IsCompleted(e.ID) {
		l.violations.Record(invariant.RecoveredAfterCompletion, e.ID, "destination", e.Destination)
	}
	for _, s := range l.subsystems {
		s.accepted(r)
	}
	l.traceRecovered(e)
	switch {
	case e.PendingNotice != nil:
		l.recoverOutcome(r)
	case e.Delivered:
		r.transition(stateOutcomeDecided)
		l.publishDelivered(r)
	case l.classIndex(e.Class) < 0, // the settings have changed, and the dispatcher can't handle an unknown class
		e.Redelivery && len(e.Attempts) == 0: // the store decides again: what it allowed the earlier process may be over
		l.fail(r, frontend.Response{}, notification.Undeliverable)
	default:
		l.recoverOpenRequest(ctx, r, predecessor)
	}
}

// recoverOutcome resumes a request whose terminal outcome an earlier process decided.
func (l *loop) recoverOutcome(r *request) {
	r.transition(stateOutcomeDecided)
	l.publishOutcome(r)
	if class := l.classIndex(r.Class); class >= 0 && r.OrderKey != "" {
		// Guards against an attempt of the order key's next request that overtakes the notice of this request.
		l.events = append(l.events, policy.Arrived{
			ID: r.ID, Class: class, Destination: r.Destination, OrderKey: r.OrderKey, Recovered: true, OutcomeDecided: true,
		})
	}
}

// recoverOpenRequest passes a request whose terminal outcome is open to the dispatcher.
func (l *loop) recoverOpenRequest(ctx context.Context, r *request, predecessor *handoverState) {
	l.countAccepted(r)
	l.deadlines.Add(r.ID, r.Deadline)
	arrived := policy.Arrived{
		ID: r.ID, Class: l.classIndex(r.Class), Destination: r.Destination, OrderKey: r.OrderKey,
		Recovered: true, Background: r.Redelivery, Terms: l.journal.Terms(r.Entry),
		TimeLeft: r.Deadline.Sub(l.timeline.Now()),
	}
	for _, a := range r.Attempts {
		arrived.PriorAttempts = append(arrived.PriorAttempts, l.priorAttempt(a))
	}
	if predecessor != nil && l.resumeHandedOverAttempt(ctx, r, predecessor) {
		arrived.PriorAttempts[len(arrived.PriorAttempts)-1].InFlight = true
	}
	l.events = append(l.events, arrived)
}

// priorAttempt returns an attempt of an earlier process, or of an earlier id of a redelivery, as the dispatcher represents it. The
// outcome of an attempt that was in flight when its process ended is unknown, so NotExecuted is false.
func (l *loop) priorAttempt(a journal.Attempt) policy.PriorAttempt {
	return policy.PriorAttempt{Endpoint: a.Endpoint, SentAt: l.attemptSentAt(a), NotExecuted: a.Ended && a.NotExecuted}
}

// attemptSentAt returns when an attempt began, on the dispatcher's clock. If the machine was rebooted since then, the age of the
// attempt is unknown, and the attempt counts as older than the time for which any destination remembers an idempotency key.
func (l *loop) attemptSentAt(a journal.Attempt) time.Duration {
	if !l.timeline.Covers(a.StartedAt) {
		return 0
	}
	return time.Duration(a.StartedAt)
}
