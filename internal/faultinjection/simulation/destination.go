package simulation

import (
	"fmt"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// endpoint is one endpoint of a destination.
type endpoint struct {
	id          string
	destination *destinationNode
	index       int // in the destination's model
}

// destinationNode is a destination: its model, and the attempts that its endpoints have received and not completed.
type destinationNode struct {
	*destination.Model
	number    int
	limit     float64 // attempts per second, without a fault that lowers it
	endpoints []*endpoint
	attempts  map[*destination.Attempt]*attempt
	advanceAt time.Duration // when the model is to be advanced next
}

func (f *fleet) addDestination(number int) {
	spec := &f.Scenario.Destinations[number]
	d := &destinationNode{
		Model: destination.New(f.Scenario, number, f.random), number: number, limit: spec.Limit.PerSecond(),
		attempts: map[*destination.Attempt]*attempt{}, advanceAt: never,
	}
	f.destinations = append(f.destinations, d)
	for index := range spec.Endpoints {
		f.discovery.publish(f.addEndpoint(d, index), serving)
	}
	f.result.Destinations = append(f.result.Destinations, &Destination{Limit: d.limit})
}

func (f *fleet) addEndpoint(d *destinationNode, index int) *endpoint {
	e := &endpoint{fmt.Sprintf("p%d-%d", d.number, index), d, index}
	d.endpoints = append(d.endpoints, e)
	f.endpoints[e.id] = e
	return e
}

// currentSecond returns the counts of a destination for the current second.
func (f *fleet) currentSecond(d *destinationNode) *Second {
	return f.result.Destinations[d.number].second(f.now)
}

// carryOut carries out a model's actions, and schedules the model's next advance.
func (f *fleet) carryOut(d *destinationNode, actions []destination.Action) {
	modeChanged := false
	for _, action := range actions {
		switch {
		case action.ModeChange != nil && !modeChanged: // the model has an action for each endpoint; all change together, so one is recorded
			modeChanged = true
			f.recordModeChange(d, action.ModeChange)
		case action.Completion != nil:
			f.complete(d, action.Completion)
		}
	}
	if next := d.NextDue(); next < d.advanceAt {
		d.advanceAt = next
		f.at(next, func() {
			d.advanceAt = never
			f.carryOut(d, d.Advance(f.now))
		})
	}
}

// complete handles the completion of an attempt. An execution counts even if the relay no longer waits for the response.
func (f *fleet) complete(d *destinationNode, c *destination.Completion) {
	if c.Executed {
		f.record(checker.Event{Kind: checker.Executed, ID: c.Attempt.ID, Destination: d.number})
		if m := f.submitted[c.Attempt.ID]; m != nil && f.Scenario.Classes[m.Class].Idempotency != scenario.Idempotent {
			f.executions[m.Number]++
		}
	}
	if a := d.attempts[c.Attempt]; a != nil {
		delete(d.attempts, c.Attempt)
		f.respond(d, a, c)
	}
}

// respond sends the response to an attempt to its relay, unless the network loses it.
func (f *fleet) respond(d *destinationNode, a *attempt, c *destination.Completion) {
	if a.responseLost || f.isPartitioned(a.relay, a.endpoint) {
		a.recordEnd(checker.Event{Outcome: checker.Interrupted, Executed: c.Executed})
		return
	}
	outcome := outcomes[c.Outcome]
	f.countResponse(d, outcome.relay)
	end := policy.AttemptEnded{Outcome: outcome.relay, Final: outcome.relay == policy.Succeeded, RetryAfter: c.RetryAfter}
	if c.LoadReport != nil {
		end.LoadReport = &policy.LoadReport{Remaining: c.LoadReport.Left, RateLimit: c.LoadReport.Limit}
	}
	writtenAt := f.now
	f.at(a.conn.arrival(), func() {
		a.recordEndAt(writtenAt, checker.Event{Outcome: outcome.checker, Duration: c.RetryAfter, Executed: c.Executed})
		a.conn.receive(end)
	})
	if end.Outcome != policy.ConnectionReset {
		f.copyResponse(a, end)
	}
}

func (f *fleet) countResponse(d *destinationNode, outcome policy.Outcome) {
	switch outcome {
	case policy.Succeeded:
		f.currentSecond(d).Delivered++
	case policy.Rejected:
		f.currentSecond(d).Rejected++
		f.result.Rejected++
	default: // other outcomes are only in the event log
	}
}

// resetConns resets the connections of all attempts at endpoints that no longer respond.
func (f *fleet) resetConns(d *destinationNode) {
	for key, a := range d.attempts {
		if d.Mode(a.endpoint.index) >= destination.ModeRefusing {
			delete(d.attempts, key)
			a.reset = resetUnnoticed
			a.recordEnd(checker.Event{Outcome: checker.Interrupted})
		}
	}
	// Relays notice the resets in an order that does not depend on the iteration order of the map.
	for _, r := range f.relays {
		for _, request := range r.order {
			if a := request.inFlight; a != nil && a.reset == resetUnnoticed {
				a.reset = resetNoticed
				f.after(f.oneWay(), func() { a.interrupt(policy.AttemptEnded{Outcome: policy.ConnectionReset}) })
			}
		}
	}
}

// sampleCapacity records the capacity of each destination for the second that begins.
func (f *fleet) sampleCapacity() {
	for _, d := range f.destinations {
		f.carryOut(d, d.Advance(f.now))
		f.currentSecond(d).Capacity = d.Capacity()
	}
}
