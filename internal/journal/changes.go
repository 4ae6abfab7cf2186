package journal

import (
	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// SetTerms gives a request that is to be accepted the present terms of its class. They stay its own
// when the settings change.
func (j *Journal) SetTerms(e *Entry, class policy.Class) { e.TermsNumber = j.termsNumber(class) }

// termsNumber returns the number of terms, and notes them where they are new.
func (j *Journal) termsNumber(class policy.Class) int {
	if j.terms[j.lastTermsNumber] == class {
		return j.lastTermsNumber // the usual case: as of the request before
	}
	for number, known := range j.terms {
		if known == class {
			return number
		}
	}
	j.note(record{Kind: kindTerms, Terms: &class, Count: int64(j.lastTermsNumber + 1)})
	return j.lastTermsNumber
}

// Accept notes a request that was accepted.
func (j *Journal) Accept(e *Entry) { j.note(record{Kind: kindAccepted, Entry: e, Body: e.Body}) }

// BeginAttempt notes an attempt. It must be committed before the attempt's first byte is sent.
func (j *Journal) BeginAttempt(e *Entry, endpoint string, at clock.Instant) {
	j.note(record{Kind: kindAttemptStarted, ID: e.ID, Endpoint: endpoint, At: at})
}

// EndAttempt notes the outcome of a request's last attempt. notExecuted: the endpoint is proved not to
// have executed it.
func (j *Journal) EndAttempt(e *Entry, notExecuted bool, outcome string, at clock.Instant) {
	r := record{Kind: kindAttemptEnded, ID: e.ID, NotExecuted: notExecuted}
	if j.detailed {
		r.Reason, r.At = outcome, at
	}
	j.note(r)
}

// DecideOutcome notes a request's terminal outcome. The notice is pending until Complete.
func (j *Journal) DecideOutcome(e *Entry, n notification.Notice, reason string, at clock.Instant) {
	r := record{Kind: kindOutcomeDecided, ID: e.ID, Notice: &n}
	if j.detailed {
		r.Reason, r.At = reason, at
	}
	j.note(r)
}

// MarkDelivered notes that a request was delivered, and that the dead-letter store is to be notified.
func (j *Journal) MarkDelivered(e *Entry) { j.note(record{Kind: kindDelivered, ID: e.ID}) }

// Complete notes that nothing more is owed for a request, from a time on.
func (j *Journal) Complete(e *Entry, at clock.Instant) {
	j.note(record{Kind: kindCompleted, ID: e.ID, At: at})
}

// SetStore notes the name of the dead-letter store that knows of all deliveries, or gets them from this
// journal. Empty: there is none.
func (j *Journal) SetStore(store string) {
	j.note(record{Kind: kindStore, Source: store, Count: j.lastArrival})
}

// SetHealth notes what later processes have to know of an endpoint's outage.
func (j *Journal) SetHealth(endpoint string, h Health) {
	j.note(record{Kind: kindHealth, Endpoint: endpoint, Health: &h})
}

// DeleteHealth drops the health of an endpoint that was removed. The file drops it with the next
// compaction.
func (j *Journal) DeleteHealth(endpoint string) { delete(j.health, endpoint) }

// UpdateEndpoints notes the endpoint list, or a change of it, and the discovery that sent it.
func (j *Journal) UpdateEndpoints(list discovery.EndpointList, source string) {
	j.note(record{Kind: kindEndpoints, Endpoints: &list, Source: source})
}

// AddCompleted adds a completed request of which another process has notified this one. It reaches the
// file with the next compaction.
func (j *Journal) AddCompleted(c CompletedRequest) { j.completed.add(c) }

// ExpireCompleted drops the requests that were completed before a time. The file drops them with the
// next compaction.
func (j *Journal) ExpireCompleted(before clock.Instant) { j.completed.expire(before) }
