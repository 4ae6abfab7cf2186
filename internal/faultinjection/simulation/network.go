package simulation

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// zones is the number of zones; relays and endpoints are assigned to them in turn.
const zones = 3

// handshakeRoundTrips is the number of round trips before a new connection can carry an attempt.
const handshakeRoundTrips = 2

// oneWayLatencyMS is the one-way latency between two machines, in milliseconds.
var oneWayLatencyMS = scenario.Range{Low: 15, High: 27}

// oneWay draws a one-way latency between two machines.
func (f *fleet) oneWay() time.Duration { return scenario.Milliseconds(oneWayLatencyMS.Draw(f.latency)) }

// isPartitioned reports whether a partition separates a relay from an endpoint.
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

// endPartition ends a partition. Endpoints notice the connections that relays closed during it.
func (f *fleet) endPartition() {
	f.partition = 0
	for _, e := range f.unnoticed {
		e.destination.Disconnect(e.index)
	}
	f.unnoticed = nil
}

// harm is a fault of the network that concerns one attempt.
type harm int

const (
	unharmed    harm = iota
	resetBefore      // the attempt's connection is reset before the last byte of the request is written
	resetAfter       // the attempt's connection is reset after the last byte of the request is written
	responseLost
)

// Cumulative shares of the harmed attempts: half lose their response, a quarter each is reset before and after the last byte.
const (
	lostResponses   = 0.5
	resetsBeforeEnd = 0.75 // including lostResponses
)

// drawHarm draws whether and how the network harms an attempt.
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
