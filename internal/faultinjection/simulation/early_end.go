package simulation

import (
	"net/http"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// resetAfterEndMS is the time from a response that a message is over to the reset of its connection, in milliseconds. A relay may await
// the confirmation of a response for longer.
var resetAfterEndMS = scenario.Range{Low: 60, High: 900}

func (f *fleet) endMessagesEarly(fault Fault) {
	f.endedShare = fault.Share
	f.after(fault.Duration, func() { f.endedShare = 0 })
}

// endEarly answers an attempt whose message is over, and reports whether it is. The response takes no time on the network, so that it
// comes sooner than any other.
func (a *attempt) endEarly() bool {
	f, id := a.relay.fleet, a.request.id
	random := f.random.Stream("early end", a.request.message.Number, a.request.submission)
	if a.index == 0 && f.endedShare > 0 && random.Float64() < f.endedShare {
		f.endedEarly[id] = true
		f.result.EarlyEnds++
	}
	if !f.endedEarly[id] {
		return false
	}
	c, number := a.conn, a.number
	a.recordEnd(checker.Event{Outcome: checker.NotSent, Status: http.StatusGone})
	f.record(checker.Event{Kind: checker.ResponseRead, Relay: a.relay.number, Attempt: number})
	f.after(scenario.Milliseconds(resetAfterEndMS.Draw(random)), c.reset)
	c.receive(policy.AttemptEnded{Outcome: policy.NotSent, Final: true})
	return true
}

// reset resets a connection, whose relay notices that at once.
func (c *connection) reset() {
	switch {
	case c.closed || !c.relay.runs(c.incarnation):
	case c.attempt == nil:
		c.relay.closeIdleConn(c)
	default:
		c.attempt.resetByEndpoint()
	}
}

// resetByEndpoint ends an attempt whose connection was reset. Its endpoint no longer responds.
func (a *attempt) resetByEndpoint() {
	delete(a.endpoint.destination.attempts, a.model)
	a.recordEnd(checker.Event{Outcome: checker.Interrupted})
	a.interrupt(policy.AttemptEnded{Outcome: policy.ConnectionReset})
}

// withdrawn removes a request that is over according to an endpoint. Nothing more is owed for it.
func (r *relay) withdrawn(request *openRequest) {
	r.evict(request)
	r.fleet.completed[request.message.Number] = true
}
