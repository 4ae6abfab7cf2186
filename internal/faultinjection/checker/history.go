package checker

import (
	"net/http"
	"slices"
	"time"
)

// history is the log of a run, arranged by request, attempt and relay.
type history struct {
	Parameters
	end              time.Duration // of the run
	requestsByID     map[string]*request
	requests         []*request // in order of submission
	attemptsByNumber map[int]*attempt
	attempts         []*attempt // including health checks, in the order of their last bytes
	absences         absences
	processEnds      map[int][]time.Duration // by relay
	machineLosses    map[int][]time.Duration // by relay
	folderFailures   relayIntervals          // when each relay's folder failed
	socketFailures   relayIntervals          // when connections of each relay were made to look broken
	halts            relayIntervals          // when the process of each relay was suspended
	suspensions      relayIntervals          // when the process of each relay was suspended during its graceful shutdown
	crowds           relayIntervals          // when a crowd of callers used up the descriptors of each relay
	kills            map[int][]time.Duration // by relay: ends of a process by SIGKILL or a crash, not by a regular exit
	violations       []Violation
}

// readHistory reads a log whose events are ordered by time. It reports a violation for each attempt that belongs to no request, or
// to a request for another destination.
func readHistory(parameters Parameters, log []Event, end time.Duration) *history {
	h := &history{
		Parameters: parameters, end: end, requestsByID: map[string]*request{}, attemptsByNumber: map[int]*attempt{}, absences: newAbsences(),
		processEnds: map[int][]time.Duration{}, machineLosses: map[int][]time.Duration{},
		folderFailures: newRelayIntervals(), socketFailures: newRelayIntervals(), halts: newRelayIntervals(), suspensions: newRelayIntervals(),
		crowds: newRelayIntervals(), kills: map[int][]time.Duration{},
	}
	for _, e := range log {
		h.readRequestEvent(e)
		h.readRelayEvent(e)
	}
	h.absences.finish()
	for _, r := range h.requests {
		for _, at := range h.machineLosses[r.relay] {
			if r.machineLostAt < 0 && at >= r.submittedAt {
				r.machineLostAt = at
			}
		}
	}
	return h
}

// addRequest adds a request and indexes it by its id.
func (h *history) addRequest(r *request) {
	h.requestsByID[r.id] = r
	h.requests = append(h.requests, r)
}

// readRequestEvent reads an event that concerns a request or an attempt.
func (h *history) readRequestEvent(e Event) {
	switch e.Kind {
	case Submitted:
		h.addRequest(newRequest(e))
	case Redelivered, StoredBefore:
		r := newRequest(e)
		r.orderKey, r.deadline = "", never
		r.redelivery, r.fromStore = e.Kind == Redelivered, e.Kind == StoredBefore
		h.addRequest(r)
	case AttemptSent, Probed:
		h.addAttempt(e)
	case AttemptEnded:
		h.endAttempt(e)
	case ResponseRead:
		if a := h.attemptsByNumber[e.Attempt]; a != nil {
			a.readAt = e.At
		}
	default:
		if r := h.requestsByID[e.ID]; r != nil {
			r.read(e)
		}
	}
}

// addAttempt reads the event that the last byte of an attempt or a health check has arrived.
func (h *history) addAttempt(e Event) {
	a := &attempt{
		relay: e.Relay, destination: e.Destination, endpoint: e.Endpoint, firstByte: e.FirstByte, lastByte: e.At, endedAt: unset, readAt: unset,
		probe: e.Kind == Probed,
	}
	h.attemptsByNumber[e.Attempt] = a
	h.attempts = append(h.attempts, a)
	if a.probe {
		return
	}
	r := h.requestsByID[e.ID]
	if r == nil {
		h.report(UnknownRequest, e.At, e.ID, e.Relay, e.Destination, "call to %s for an id that no client handed in", e.Endpoint)
		return
	}
	if r.destination != e.Destination {
		h.report(WrongDestination, e.At, e.ID, e.Relay, r.destination, "call to %s, which is %s's", e.Endpoint, h.Destinations[e.Destination].Name)
	}
	r.attempts = append(r.attempts, a)
}

// endAttempt reads the outcome of an attempt.
func (h *history) endAttempt(e Event) {
	a := h.attemptsByNumber[e.Attempt]
	if a == nil || a.endedAt >= 0 {
		return
	}
	a.endedAt, a.outcome, a.retryAfter, a.status = e.At, e.Outcome, e.Duration, e.Status
	r := h.requestsByID[e.ID]
	switch {
	case r == nil:
	case e.Outcome == OK && r.deliveredAt < 0:
		r.deliveredAt = e.At
	case e.Outcome == NotSent && (a.lastByte > r.deadline || e.Status == http.StatusGone) && r.expiredAt < 0:
		r.expiredAt = e.At // the relay was notified that the request has ended, so an outcome is no longer due
	}
}

// readRelayEvent reads an event that concerns a relay's process, machine, folder or sockets.
func (h *history) readRelayEvent(e Event) {
	switch e.Kind {
	case Stopping:
		h.absences.begin(e.Relay, e.At)
	case Halted:
		h.absences.begin(e.Relay, e.At)
		h.halts.begin(e.Relay, e.At)
	case Suspended:
		h.suspensions.begin(e.Relay, e.At)
	case Killed, Crashed:
		h.absences.begin(e.Relay, e.At)
		h.suspensions.end(e.Relay, e.At)
		h.processEnds[e.Relay] = append(h.processEnds[e.Relay], e.At)
		if !e.OK {
			h.kills[e.Relay] = append(h.kills[e.Relay], e.At)
		}
	case CrowdCame:
		h.crowds.begin(e.Relay, e.At)
	case CrowdLeft:
		h.crowds.end(e.Relay, e.At)
	case MachineLost:
		h.absences.begin(e.Relay, e.At)
		h.processEnds[e.Relay] = append(h.processEnds[e.Relay], e.At)
		h.machineLosses[e.Relay] = append(h.machineLosses[e.Relay], e.At)
	case Ready:
		h.absences.end(e.Relay, e.At+restartSlack)
	case Resumed:
		h.halts.end(e.Relay, e.At)
		h.absences.end(e.Relay, e.At+restartSlack)
	case SocketsBreak:
		h.socketFailures.begin(e.Relay, e.At)
	case SocketsHold:
		h.socketFailures.end(e.Relay, e.At)
	case FolderFails:
		h.folderFailures.begin(e.Relay, e.At)
	case FolderWorks:
		h.folderFailures.end(e.Relay, e.At)
	default:
	}
}

// idOf returns the id of the request for which an attempt was made, or "".
func (h *history) idOf(a *attempt) string {
	for _, r := range h.requests {
		if slices.Contains(r.attempts, a) {
			return r.id
		}
	}
	return ""
}
