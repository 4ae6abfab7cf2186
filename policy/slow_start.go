package policy

import (
	"math"
	"time"
)

const (
	// recoverySafety of the rule's budget for a cold destination is used: the rest is for other relays' uneven
	// shares and for chance; sparseSafety where many relays have less than a call each in the rule's span
	// (with second knocks of half of those refused, it never reaches the rule's two thirds of what is too
	// much). rampBurst may go at once.
	recoverySafety, lowTrafficSafety, earlyUnhealthyChance, recoveryBurstShare = 0.8, 0.42, 0.5, 1.0 / 3
)

// recoveryTokens is what the budget of a sick or ramping endpoint allows to be sent now.
func (d *Dispatcher) recoveryTokens(ep *endpoint) float64 {
	if ep.ramping && d.timeSinceRecovery(ep) >= d.settings.SlowStartTime {
		ep.ramping = false
	}
	rate := d.recoveryRate(ep, d.timeSinceRecovery(ep))
	return ep.refill(d.now, rate, math.Max(1, recoveryBurstShare*rate*d.settings.OverloadWindow.Seconds()))
}

// timeSinceRecovery is how long an endpoint has been back.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.sick {
		return 0
	}
	return min(d.now-ep.recoveredAt, d.settings.SlowStartTime)
}

// recoveryRate is the calls a second that this relay may make to an endpoint that has been back for so long:
// its part of what the rule on returning destinations allows. Where no weight is told, one call in
// each span of the rule.
func (d *Dispatcher) recoveryRate(ep *endpoint, back time.Duration) float64 {
	share := 1.0
	if d.settings.SlowStartTime > 0 {
		share = d.settings.ColdCapacity + (1-d.settings.ColdCapacity)*float64(back)/float64(d.settings.SlowStartTime)
	}
	weight := ep.queue.listedRate
	if weight == 0 {
		weight = float64(d.settings.Instances)
	}
	safety := recoverySafety
	if d.lowTraffic(ep.queue) {
		safety = lowTrafficSafety
	}
	all := safety * d.settings.OverloadFactor * share * weight
	return all / float64(d.settings.Instances*max(1, len(ep.queue.endpoints)))
}

// initialRecoveryTokens is what a budget of less than a call a span starts with: a chance part of a call, so that of many
// relays with a call in a minute each some try at any time, and the total is what the rule allows.
func (d *Dispatcher) initialRecoveryTokens(ep *endpoint) float64 {
	return math.Max(0, d.random.Float64()-d.recoveryRate(ep, d.timeSinceRecovery(ep))*d.settings.OverloadWindow.Seconds())
}
