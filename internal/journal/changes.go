package journal

import (
	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// SetTerms sets the terms of a request that is about to be accepted: the current settings of its class.
// The request keeps these terms when the operator changes the settings.
func (j *Journal) SetTerms(e *Entry, class policy.Class) { e.TermsNumber = j.termsNumber(class) }

// termsNumber returns the number under which class settings are stored, and records the settings if they
// are not stored yet.
func (j *Journal) termsNumber(class policy.Class) int {
	if j.terms[j.lastTermsNumber] == class {
		return j.lastTermsNumber // the usual case: the terms of the previous request
	}
	for number, known := range j.terms {
		if known == class {
			return number
		}
	}
	j.addRecord(record{Kind: kindTerms, Terms: &class, Count: int64(j.lastTermsNumber + 1)})
	return j.lastTermsNumber
}

// Accept records an accepted request.
func (j *Journal) Accept(e *Entry) { j.addRecord(record{Kind: kindAccepted, Entry: e, Body: e.Body}) }

// BeginAttempt records the start of an attempt. The record must be committed before the attempt's first
// byte is sent.
func (j *Journal) BeginAttempt(e *Entry, endpoint string, at clock.Instant) {
	j.addRecord(record{Kind: kindAttemptStarted, ID: e.ID, Endpoint: endpoint, At: at})
}

// EndAttempt records the outcome of a request's last attempt. notExecuted is set if it is proved that
// the endpoint did not execute the attempt.
func (j *Journal) EndAttempt(e *Entry, notExecuted bool, outcome string, at clock.Instant) {
	r := record{Kind: kindAttemptEnded, ID: e.ID, NotExecuted: notExecuted}
	if j.detailed {
		r.Reason, r.At = outcome, at
	}
	j.addRecord(r)
}

// DecideOutcome records a request's terminal outcome. The notice is pending until Complete.
func (j *Journal) DecideOutcome(e *Entry, n notification.Notice, reason string, at clock.Instant) {
	r := record{Kind: kindOutcomeDecided, ID: e.ID, Notice: &n}
	if j.detailed {
		r.Reason, r.At = reason, at
	}
	j.addRecord(r)
}

// MarkDelivered records that a request was delivered, although its entry stays: the dead-letter store has to be notified, or the
// response may turn out to belong to another request. In the latter case, EndAttempt replaces the record.
func (j *Journal) MarkDelivered(e *Entry) { j.addRecord(record{Kind: kindDelivered, ID: e.ID}) }

// Complete records that a request is completed: the relay has nothing left to do for it from then on.
func (j *Journal) Complete(e *Entry, at clock.Instant) {
	j.addRecord(record{Kind: kindCompleted, ID: e.ID, At: at})
}

// Withdraw drops a request whose acceptance could not be committed, as if it had never been accepted: its id is not remembered as
// completed, so that the request may be submitted again under it.
func (j *Journal) Withdraw(e *Entry) { j.addRecord(record{Kind: kindCompleted, ID: e.ID}) }

// SetStore records the name of the dead-letter store that Store returns. An empty name means that no
// store has a complete record of deliveries, and that notifying a store of the deliveries in this journal
// would not complete its record.
func (j *Journal) SetStore(store string) {
	j.addRecord(record{Kind: kindStore, Source: store, Count: j.lastArrival})
}

// SetHealth records for later processes that an endpoint became unhealthy or recovered.
func (j *Journal) SetHealth(endpoint string, h Health) {
	j.addRecord(record{Kind: kindHealth, Endpoint: endpoint, Health: &h})
}

// DeleteHealth drops the health of an endpoint that was removed. The next compaction drops it from the
// file.
func (j *Journal) DeleteHealth(endpoint string) { delete(j.health, endpoint) }

// UpdateEndpoints records the endpoint list, or a change of it, and the discovery service that sent it.
func (j *Journal) UpdateEndpoints(list discovery.EndpointList, source string) {
	j.addRecord(record{Kind: kindEndpoints, Endpoints: &list, Source: source})
}

// AddCompleted adds a completed request that another process has reported to this one. The next
// compaction writes it to the file.
func (j *Journal) AddCompleted(c CompletedRequest) { j.completed.add(c) }

// ExpireCompleted drops the requests that were completed before a time. The next compaction drops them
// from the file.
func (j *Journal) ExpireCompleted(before clock.Instant) { j.completed.expire(before) }
