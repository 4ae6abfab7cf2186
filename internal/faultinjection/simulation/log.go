package simulation

import (
	"fmt"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// This file writes a day down as the stand-ins of a real run do, for the auditor that judges those: what it finds rests on nothing
// that relays or modules say of themselves.

// write writes an event down.
func (f *fleet) write(e checker.Event) {
	e.At = f.now
	f.log = append(f.log, e)
}

// handed writes down that a client hands a message in.
func (r *relay) handed(h *held) {
	r.f.write(checker.Event{
		Kind: checker.Submitted, ID: h.id, Message: h.m.Number, Relay: r.no, Destination: h.m.Destination, Class: h.m.Class,
		OrderKey: h.m.OrderKey, Subject: h.m.Subject, Duration: h.expires - r.f.now,
	})
}

// heard writes down what a client hears, and takes note that the message is the relay's from then on where that is so.
func (r *relay) heard(h *held, status int) {
	h.taken = status == statusTaken
	if h.unheard {
		r.f.write(checker.Event{Kind: checker.AnswerMissed, ID: h.id, Relay: r.no, State: "its client has gone"})
		return
	}
	r.f.write(checker.Event{Kind: checker.Answered, ID: h.id, Relay: r.no, Status: status})
}

// What clients hear.
const statusTaken, statusRefused, statusFailed = 202, 429, 502

// ended writes down that a message ends undelivered: by its answer if that is still due, else by a notice.
func (r *relay) ended(h *held, refused bool) {
	status, state := statusFailed, checker.Undeliverable
	if refused {
		status, state = statusRefused, checker.Deferred
	}
	if !h.taken {
		r.heard(h, status)
		return
	}
	r.f.write(checker.Event{Kind: checker.Notified, ID: h.id, Relay: r.no, State: state})
}

// came writes down that a call has come to its host whole.
func (fl *flight) came() {
	f := fl.r.f
	f.calls++
	fl.no = f.calls
	f.write(checker.Event{Kind: checker.AttemptSent, ID: fl.held.id, Relay: fl.r.no, Destination: fl.host.partner.no, Endpoint: fl.host.id, Attempt: fl.no, FirstByte: f.now})
}

// closed writes down how a call ended now, once.
func (fl *flight) closed(e checker.Event) { fl.closedAt(fl.r.f.now, e) }

// closedAt does so for a time not long ago: whether an answer that was written has met its relay is known only when it comes there.
func (fl *flight) closedAt(at time.Duration, e checker.Event) {
	if fl.no == 0 {
		return
	}
	e.At, e.Kind, e.ID, e.Attempt, e.Relay, e.Destination = at, checker.AttemptEnded, fl.held.id, fl.no, fl.r.no, fl.host.partner.no
	fl.no = 0
	fl.r.f.log = append(fl.r.f.log, e)
}

// outcomes are those of the partner's model as the auditor names them, and as a relay hears them.
var outcomes = map[destination.Outcome]struct {
	named string
	heard policy.Outcome
}{
	destination.OutcomeDelivered:   {checker.OK, policy.Succeeded},
	destination.OutcomeError:       {checker.Error, policy.Failed},
	destination.OutcomeUnavailable: {checker.Rejected, policy.Rejected},
	destination.OutcomeRetryAfter:  {checker.RetryAfter, policy.Rejected},
	destination.OutcomeReset:       {checker.Reset, policy.ConnectionReset},
}

// fell follows a partner that was pushed over, or is back from that.
func (f *fleet) fell(s *site, c *destination.ModeChange) {
	if c.Mode == destination.ModeRefusing {
		f.write(checker.Event{Kind: checker.OutageBegan, Destination: s.no, State: "fell"})
		f.reset(s)
		return
	}
	f.write(checker.Event{Kind: checker.OutageEnded, Destination: s.no, OK: true})
}

// judge has the auditor judge the day, and adds what it finds to the result.
func (f *fleet) judge() {
	figures := checker.Parameters{Settings: f.Scenario.RelaySettings(0), NotifyWithin: scenario.Seconds(f.Scenario.Discovery.NotifyWithin)}
	for i := range f.Scenario.Destinations {
		p := &f.Scenario.Destinations[i]
		figures.Destinations = append(figures.Destinations, checker.Destination{
			Name: p.Name, Capacity: f.Scenario.Capacity(p),
			ColdCapacity: p.ColdCapacity, SlowStartTime: scenario.Seconds(p.SlowStartTime),
		})
	}
	f.res.Violations = map[checker.Rule]int{}
	for _, b := range checker.Judge(figures, f.log, f.now).Violations {
		f.res.Violations[b.Rule]++
		f.res.fault("%v", fmt.Sprintf("%s at %.3f s, relay %d, %s: %s %s", b.Rule, b.At.Seconds(), b.Relay, b.Destination, b.ID, b.Text))
	}
}
