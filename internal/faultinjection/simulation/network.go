package simulation

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// zones is the number of zones; relays and endpoints are assigned to them in turn.
const zones = 3

// handshakeRoundTrips are round trips before a new connection carries an attempt, beside that of the attempt itself.
const handshakeRoundTrips = 2

// oneWayLatencyMS is what a packet takes between two machines, in milliseconds.
var oneWayLatencyMS = scenario.Range{Low: 15, High: 27}

// oneWay draws what a packet takes between two machines.
func (f *fleet) oneWay() time.Duration { return scenario.Milliseconds(oneWayLatencyMS.Draw(f.latency)) }

// isPartitioned reports whether nothing passes between a relay and an endpoint.
func (f *fleet) isPartitioned(r *relay, e *endpoint) bool {
	if f.partition == 0 {
		return false
	}
	cutOff := f.partition - 1
	endpointZone, relayZone := (e.destination.number+e.index)%zones, r.number%zones
	return (endpointZone == cutOff) != (relayZone == cutOff)
}

func (f *fleet) beginPartition(fault Fault) {
	f.partition = fault.Zone + 1
	f.after(fault.Duration, f.endPartition)
}

// endPartition ends a partition: endpoints notice the connections that were closed behind it.
func (f *fleet) endPartition() {
	f.partition = 0
	for _, e := range f.unnoticed {
		e.destination.Disconnect(e.index)
	}
	f.unnoticed = nil
}

// harm is what the network does to an attempt.
type harm int

const (
	unharmed    harm = iota
	resetBefore      // its connection is reset before its last byte is written
	resetAfter       // or after that
	responseLost
)

// The parts of the harmed attempts that each kind of harm has.
const (
	lostResponses   = 0.5
	resetsBeforeEnd = 0.75 // up to here
)

// drawHarm draws what the network does to an attempt.
func (f *fleet) drawHarm(a *attempt) harm {
	if f.harmShare == 0 {
		return unharmed
	}
	draw := f.random.Stream("harm", a.request.message.Number, a.request.submission, a.index).Float64() / f.harmShare
	switch {
	case draw < lostResponses:
		return responseLost
	case draw < resetsBeforeEnd:
		return resetBefore
	case draw < 1:
		return resetAfter
	}
	return unharmed
}
