package relay

import (
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// latestEndpointList is the newest list that this relay, or its platform for it, is known to have had.
func (l *loop) latestEndpointList() discovery.EndpointList {
	list := l.cfg.Known
	told, from := l.journal.Endpoints()
	switch {
	case told == nil:
	case from != l.cfg.Discovery: // versions are one discovery's own: nothing tells which is newer
		list = *told
		list.Seq = 0
	case told.Seq >= list.Seq:
		// The configuration's list may be older than what an earlier process was told: a host that drains gets nothing new
		// from this one either. It may be newer as well, since the platform goes on listening while no process runs.
		list = *told
	}
	return list
}

// restore takes up what the journal holds, and the list that the configuration gives; from is what another process has
// handed over beside the journal, or nil.
func (l *loop) restore(from *handoverState) {
	list := l.latestEndpointList()
	list.Full = true
	l.traceEvent(trace.Event{Kind: trace.RelayStarted, Relay: l.cfg.Name, Count: l.cfg.Settings.NInstances})
	l.updateEndpoints(list)
	l.journal.UpdateEndpoints(list, l.cfg.Discovery) // what the watch tells from here on may be changes of it only
	l.watch.Seq = list.Seq
	if l.journal.Failed() { // from its start on
		l.folder.WriteFailed(l.now())
		l.folderDegraded(true)
	}
	if from != nil {
		l.events = append(l.events, policy.SnapshotRestored{Snapshot: from.Memory})
		for _, e := range from.Completed {
			l.journal.AddCompleted(journal.CompletedRequest{ID: e.ID, At: e.At})
		}
	}
	for _, e := range l.journal.Entries() {
		m := &request{Entry: e, recovered: true}
		l.requests[e.ID] = m
		if l.journal.IsCompleted(e.ID) {
			l.violations.Record(invariant.RecoveredAfterCompletion, e.ID, "destination", e.Destination)
		}
		l.trackSubject(m)
		l.traceRecovered(e)
		switch {
		case e.PendingNotice != nil:
			m.over = true // by the process before
			l.publishOutcome(m)
			if class := l.class(e.Class); class >= 0 && e.OrderKey != "" {
				// Guards against a call for the next of its key that overtakes its notice.
				l.events = append(l.events, policy.Arrived{ID: e.ID, Class: class, Destination: e.Destination, OrderKey: e.OrderKey, Recovered: true, OutcomeDecided: true})
			}
			continue
		case e.Delivered:
			m.over = true
			l.publishDelivered(m)
			continue
		}
		class := l.class(e.Class)
		if class < 0 { // the settings have changed, and the module could not end it
			l.fail(m, frontend.Response{}, notification.Undeliverable)
			continue
		}
		l.countAccepted(m)
		l.deadlines.Add(m.ID, m.Deadline)
		a := policy.Arrived{
			ID: e.ID, Class: class, Destination: e.Destination, OrderKey: e.OrderKey, Recovered: true, Background: e.Redelivery, Terms: l.journal.Terms(e),
			TimeLeft: e.Deadline.Sub(l.timeline.Now()),
		}
		for _, t := range e.Attempts {
			// An attempt that was out when the process ended may have run.
			a.PriorAttempts = append(a.PriorAttempts, policy.PriorAttempt{Endpoint: t.Endpoint, SentAt: l.attemptSentAt(t), NotExecuted: t.Ended && t.NotExecuted})
		}
		if from != nil && from.resumeAttempt(l, m) {
			a.PriorAttempts[len(a.PriorAttempts)-1].InFlight = true
		}
		l.events = append(l.events, a)
	}
	l.step()
}

// attemptSentAt is when an attempt of an earlier process began, in the module's terms. Where that process did not run in this boot how
// long ago it was is not known: it counts as longer ago than any destination keeps a key.
func (l *loop) attemptSentAt(a journal.Attempt) time.Duration {
	if !l.timeline.SameBoot() {
		return 0
	}
	return time.Duration(a.StartedAt)
}
