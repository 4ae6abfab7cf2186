package policy

import (
	"math"
	"time"
)

const (
	// recoverySafety is the share used of what a cold destination bears by the settings: the rest
	// is for other relays' uneven shares and for chance.
	recoverySafety = 0.8
	// lowTrafficSafety is that share where many relays have less than a call each in
	// OverloadWindow: with second trial requests of half of those rejected, it never reaches two
	// thirds of what overloads the destination.
	lowTrafficSafety = 0.42
	// recoveryBurstShare of the calls that OverloadWindow allows may be sent at once.
	recoveryBurstShare = 1.0 / 3
)

// startSlowStart begins the slow start of an endpoint that was unhealthy.
func (d *Dispatcher) startSlowStart(ep *endpoint) {
	d.recoveryTokens(ep)
	ep.health, ep.recoveredAt = slowStart, d.now
	if !ep.Removed {
		d.unhealthyCount--
	}
	ep.recoveryBucket.tokens = math.Max(ep.recoveryBucket.tokens, d.initialRecoveryTokens(ep))
	d.emit(PersistHealth{Endpoint: ep.ID, At: d.now})
	for _, other := range ep.queue.endpoints { // outages mostly end for a whole destination
		other.recoveryBucket.tokens = math.Max(other.recoveryBucket.tokens, 1)
	}
}

// endSlowStart ends a slow start whose time has passed.
func (d *Dispatcher) endSlowStart(ep *endpoint) {
	if ep.health.hasRecovery() && d.timeSinceRecovery(ep) >= d.settings.SlowStartTime {
		ep.health = ep.health.recoveryEnded()
	}
}

// recoveryTokens returns how many calls to an endpoint that is unhealthy or in slow start are
// allowed now.
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

// timeSinceRecovery returns how long an endpoint has been back from its outage, SlowStartTime at
// most; 0 while it is unhealthy.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.health.isUnhealthy() {
		return 0
	}
	return min(d.now-ep.recoveredAt, d.settings.SlowStartTime)
}

// recoveryRate returns the calls per second that this relay may make to an endpoint that has been
// back for so long: its part of what a destination bears after an outage by the settings. Where no
// rate is listed, that is one call per OverloadWindow of full capacity.
func (d *Dispatcher) recoveryRate(ep *endpoint, back time.Duration) float64 {
	capacity := 1.0
	if d.settings.SlowStartTime > 0 {
		cold := d.settings.ColdCapacity
		capacity = cold + (1-cold)*float64(back)/float64(d.settings.SlowStartTime)
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

// initialRecoveryTokens returns what a recovery rate of less than a call per OverloadWindow starts
// with: a random part of a call, so that of many relays with a call in a minute each some try at
// any time, and the total is what the settings allow.
func (d *Dispatcher) initialRecoveryTokens(ep *endpoint) float64 {
	part := d.random.Float64()
	rate := d.recoveryRate(ep, d.timeSinceRecovery(ep))
	return math.Max(0, part-rate*d.settings.OverloadWindow.Seconds())
}
