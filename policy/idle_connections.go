package policy

const (
	// minConnReuses is the number of calls per endpoint that must be expected within
	// IdleConnTimeout for a connection to stay open after a call. With half of this number,
	// failures to connect cost more than the saved handshakes gain.
	minConnReuses = 4
	// smallFleet is the largest number of relays that may keep all their idle connections: even
	// small destinations accept that many connections.
	smallFleet = 6
	// mediumFleet is the largest number of relays that may keep any idle connections, which is
	// about the connection limit of a small destination. In a larger fleet, an idle connection of
	// one relay causes the rejection of a call of another.
	mediumFleet = 9
	// connLimitIncrease is the amount by which each success raises an estimated connection limit.
	connLimitIncrease = 0.05
)

// keepsIdleConns reports whether the fleet is small enough for relays to keep idle connections.
func (d *Dispatcher) keepsIdleConns() bool { return d.settings.Instances <= mediumFleet }

// closesIdleConn reports whether a connection to an endpoint is closed after its call. It is closed
// if it would probably stay idle until its timeout, if the endpoint has reached its connection limit
// before, or if the fleet is so large that idle connections would use up the connection limit of a
// small endpoint. Closing a connection that would have been used again costs a handshake.
func (d *Dispatcher) closesIdleConn(ep *endpoint) bool {
	// The decayed count is used instead of the rate, because the rate of a new counter is high
	// after a single arrival.
	expected := ep.queue.arrivals.count(d.now) * float64(d.settings.IdleConnTimeout) / float64(counterTimeConstant)
	return ep.connLimit > 0 || !d.keepsIdleConns() ||
		d.settings.Instances > smallFleet && expected < minConnReuses*float64(max(1, len(ep.queue.endpoints)))
}

// closeIdleConns closes the idle connections to the endpoints at which calls ended in this batch,
// unless closesIdleConn keeps the connections open. In a fleet that keeps idle connections, they also
// stay open if the endpoint got a new call: it may use one of them.
func (d *Dispatcher) closeIdleConns() {
	for _, ep := range d.idleCandidates {
		usedAgain := ep.lastUsed == d.now && d.keepsIdleConns()
		if !usedAgain && (len(ep.inFlight) == 0 || !d.keepsIdleConns()) && d.closesIdleConn(ep) {
			d.emit(CloseIdleConns{Endpoint: ep.ID})
		}
	}
	d.idleCandidates = nil
}
