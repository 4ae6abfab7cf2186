package policy

import (
	"math"
	"time"
)

const (
	// recoverySafety is the share that all relays together use of the load that, according to the
	// settings, a cold destination bears. The rest is a margin for uneven shares of the relays and
	// for random variation.
	recoverySafety = 0.8
	// lowTrafficSafety replaces recoverySafety at low traffic, where many relays each make less
	// than one call per OverloadWindow. Even with a second trial request by half of the rejected
	// relays (see unhealthyEarly), the total stays below two thirds of the load that overloads the
	// destination.
	lowTrafficSafety = 0.42
	// recoveryBurstShare is the share of the calls allowed per OverloadWindow that may be sent at
	// once.
	recoveryBurstShare = 1.0 / 3
)

// startSlowStart starts the slow start of an unhealthy endpoint. It also allows a trial request to
// each other endpoint of the queue, because an outage usually ends for all endpoints of a
// destination at the same time.
func (d *Dispatcher) startSlowStart(ep *endpoint) {
	d.recoveryTokens(ep)
	ep.health, ep.recoveredAt = slowStart, d.now
	if !ep.Removed {
		d.unhealthyCount--
	}
	ep.recoveryBucket.tokens = math.Max(ep.recoveryBucket.tokens, d.initialRecoveryTokens(ep))
	d.emit(PersistHealth{Endpoint: ep.ID, At: d.now})
	for _, other := range ep.queue.endpoints {
		other.recoveryBucket.tokens = math.Max(other.recoveryBucket.tokens, 1)
	}
}

// endSlowStart ends the slow start of an endpoint if SlowStartTime has passed.
func (d *Dispatcher) endSlowStart(ep *endpoint) {
	if ep.health.hasRecovery() && d.timeSinceRecovery(ep) >= d.settings.SlowStartTime {
		ep.health = ep.health.recoveryEnded()
	}
}

// recoveryTokens returns the number of calls that an endpoint may get now while it is unhealthy or
// in slow start.
func (d *Dispatcher) recoveryTokens(ep *endpoint) float64 {
	d.endSlowStart(ep)
	rate := d.recoveryRate(ep, d.timeSinceRecovery(ep))
	burst := math.Max(1, recoveryBurstShare*rate*d.settings.OverloadWindow.Seconds())
	return ep.recoveryBucket.refill(d.now, rate, burst)
}

// consumeRecoveryToken takes the token for a call to an endpoint that is unhealthy or in slow
// start.
func (d *Dispatcher) consumeRecoveryToken(ep *endpoint) {
	if ep.health != healthy {
		d.recoveryTokens(ep)
		ep.recoveryBucket.tokens--
	}
}

// timeSinceRecovery returns the time since an endpoint recovered from its last outage, at most
// SlowStartTime. It returns 0 for an unhealthy endpoint.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.health.isUnhealthy() {
		return 0
	}
	return min(d.now-ep.recoveredAt, d.settings.SlowStartTime)
}

// recoveryRate returns the calls per second that this relay may make to an endpoint at the given
// time since its recovery. According to the settings, the destination bears OverloadFactor times
// its capacity at that time. All relays together use the safe share of that load (recoverySafety or
// lowTrafficSafety), evenly divided among the relays and the endpoints of the queue. If no rate is
// listed, the full capacity is assumed to be one call per second for each relay.
func (d *Dispatcher) recoveryRate(ep *endpoint, sinceRecovery time.Duration) float64 {
	capacity := 1.0
	if d.settings.SlowStartTime > 0 {
		cold := d.settings.ColdCapacity
		capacity = cold + (1-cold)*float64(sinceRecovery)/float64(d.settings.SlowStartTime)
	}
	listedRate := ep.queue.listedRate
	if listedRate == 0 {
		listedRate = float64(d.settings.Instances)
	}
	safety := recoverySafety
	if d.lowTraffic(ep.queue) {
		safety = lowTrafficSafety
	}
	allRelays := safety * d.settings.OverloadFactor * capacity * listedRate
	return allRelays / float64(d.settings.Instances*max(1, len(ep.queue.endpoints)))
}

// initialRecoveryTokens returns the initial tokens of an endpoint that becomes unhealthy or enters
// slow start: a random fraction of a call, less the calls that the recovery rate allows per
// OverloadWindow. In a large fleet, where each relay may make a call only every minute or so, the
// random fraction spreads the trial requests of the relays over time, so that their total stays at
// the rate that the settings allow.
func (d *Dispatcher) initialRecoveryTokens(ep *endpoint) float64 {
	part := d.random.Float64()
	rate := d.recoveryRate(ep, d.timeSinceRecovery(ep))
	return math.Max(0, part-rate*d.settings.OverloadWindow.Seconds())
}
