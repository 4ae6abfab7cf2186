package simulation

import (
	"fmt"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// The event log has the events that the stand-ins of a run with real processes record. The checker judges a day by these events
// alone, and by nothing that relays or decision modules report about themselves.

// HTTP statuses of responses to submissions.
const (
	statusAccepted = 202
	statusRejected = 429
	statusFailed   = 502
)

// outcomes maps the outcomes of a destination's model to those of the checker and of a relay.
var outcomes = map[destination.Outcome]struct {
	checker string
	relay   policy.Outcome
}{
	destination.OutcomeDelivered:   {checker.OK, policy.Succeeded},
	destination.OutcomeError:       {checker.Error, policy.Failed},
	destination.OutcomeUnavailable: {checker.Rejected, policy.Rejected},
	destination.OutcomeRetryAfter:  {checker.RetryAfter, policy.Rejected},
	destination.OutcomeReset:       {checker.Reset, policy.ConnectionReset},
}

// record adds an event to the log.
func (f *fleet) record(e checker.Event) {
	e.At = f.now
	f.log = append(f.log, e)
}

// recordSubmission records that a client submits a message.
func (r *relay) recordSubmission(request *openRequest) {
	m := request.message
	r.fleet.record(checker.Event{
		Kind: checker.Submitted, ID: request.id, Message: m.Number, Relay: r.number, Destination: m.Destination, Class: m.Class,
		OrderKey: m.OrderKey, Subject: m.Subject, Duration: request.deadline - r.fleet.now,
	})
}

// respond responds to a submission. Once a request is accepted, the relay is responsible for it.
func (r *relay) respond(request *openRequest, status int) {
	request.accepted = status == statusAccepted
	if request.clientLeft {
		r.fleet.record(checker.Event{Kind: checker.AnswerMissed, ID: request.id, Relay: r.number, State: "its client has gone"})
		return
	}
	r.fleet.record(checker.Event{Kind: checker.Answered, ID: request.id, Relay: r.number, Status: status})
}

// recordFailed records that a request ends undelivered: by its response if none has been sent yet, by a notice otherwise.
func (r *relay) recordFailed(request *openRequest, rejected bool) {
	status, state := statusFailed, checker.Undeliverable
	if rejected {
		status, state = statusRejected, checker.Deferred
	}
	if !request.accepted {
		r.respond(request, status)
		return
	}
	r.fleet.record(checker.Event{Kind: checker.Notified, ID: request.id, Relay: r.number, State: state})
}

// recordArrival records that the complete request of an attempt has reached its endpoint.
func (a *attempt) recordArrival() {
	f := a.relay.fleet
	f.lastAttempt++
	a.number = f.lastAttempt
	f.record(checker.Event{
		Kind: checker.AttemptSent, ID: a.request.id, Relay: a.relay.number, Destination: a.endpoint.destination.number, Endpoint: a.endpoint.id,
		Attempt: a.number, FirstByte: f.now,
	})
}

// recordEnd records that an attempt ends now. Only the first end of an attempt is recorded.
func (a *attempt) recordEnd(e checker.Event) { a.recordEndAt(a.relay.fleet.now, e) }

// recordEndAt records that an attempt ended at an earlier time. An attempt with a response ends when the endpoint writes the response,
// but whether the response reaches the relay is known only when it arrives.
func (a *attempt) recordEndAt(at time.Duration, e checker.Event) {
	if a.number == 0 {
		return
	}
	e.At, e.Kind, e.ID, e.Attempt = at, checker.AttemptEnded, a.request.id, a.number
	e.Relay, e.Destination = a.relay.number, a.endpoint.destination.number
	a.number = 0
	a.relay.fleet.log = append(a.relay.fleet.log, e)
}

// recordModeChange records that a destination goes down by overload, or recovers from that.
func (f *fleet) recordModeChange(d *destinationNode, c *destination.ModeChange) {
	if c.Mode == destination.ModeRefusing {
		f.record(checker.Event{Kind: checker.OutageBegan, Destination: d.number, State: "fell"})
		f.resetConns(d)
		return
	}
	f.record(checker.Event{Kind: checker.OutageEnded, Destination: d.number, OK: true})
}

// check has the checker judge the day, and adds the violations to the result.
func (f *fleet) check() {
	f.result.Violations = map[checker.Rule]int{}
	for _, v := range checker.Judge(f.parameters(), f.log, f.now).Violations {
		f.result.Violations[v.Rule]++
		f.result.recordFailure("%v", fmt.Sprintf("%s at %.3f s, relay %d, %s: %s %s", v.Rule, v.At.Seconds(), v.Relay, v.Destination, v.ID, v.Text))
	}
}

// parameters returns the parameters of the checker's rules.
func (f *fleet) parameters() checker.Parameters {
	parameters := checker.Parameters{
		Settings: f.Scenario.RelaySettings(0), NotifyWithin: scenario.Seconds(f.Scenario.Discovery.NotifyWithin),
	}
	for i := range f.Scenario.Destinations {
		spec := &f.Scenario.Destinations[i]
		parameters.Destinations = append(parameters.Destinations, checker.Destination{
			Name: spec.Name, Capacity: f.Scenario.Capacity(spec),
			ColdCapacity: spec.ColdCapacity, SlowStartTime: scenario.Seconds(spec.SlowStartTime),
		})
	}
	return parameters
}
