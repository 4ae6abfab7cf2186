package policy

import (
	"math"
	"time"
)

const (
	// rampSafety of the rule's budget for a cold destination is used: the rest is for other relays' uneven
	// shares and for chance; sparseSafety where many relays have less than a call each in the rule's span
	// (with second knocks of half of those refused, it never reaches the rule's two thirds of what is too
	// much). rampBurst may go at once.
	rampSafety, sparseSafety, onceShare, rampBurst = 0.8, 0.42, 0.5, 1.0 / 3
)

// epTokens is what the budget of a sick or ramping endpoint allows to be sent now.
func (d *Dispatcher) epTokens(ep *endpoint) float64 {
	if ep.ramping && d.coldFor(ep) >= d.s.SlowStartTime {
		ep.ramping = false
	}
	rate := d.budget(ep, d.coldFor(ep))
	return ep.fill(d.now, rate, math.Max(1, rampBurst*rate*d.s.OverloadWindow.Seconds()))
}

// coldFor is how long an endpoint has been back.
func (d *Dispatcher) coldFor(ep *endpoint) time.Duration {
	if ep.sick {
		return 0
	}
	return min(d.now-ep.recovered, d.s.SlowStartTime)
}

// budget is the calls a second that this relay may make to an endpoint that has been back for so long:
// its part of what the rule on returning destinations allows. Where no weight is told, one call in
// each span of the rule.
func (d *Dispatcher) budget(ep *endpoint, back time.Duration) float64 {
	share := 1.0
	if d.s.SlowStartTime > 0 {
		share = d.s.ColdCapacity + (1-d.s.ColdCapacity)*float64(back)/float64(d.s.SlowStartTime)
	}
	weight := ep.q.weight
	if weight == 0 {
		weight = float64(d.s.Instances)
	}
	safety := rampSafety
	if d.sparse(ep.q) {
		safety = sparseSafety
	}
	all := safety * d.s.OverloadFactor * share * weight
	return all / float64(d.s.Instances*max(1, len(ep.q.eps)))
}

// phase is what a budget of less than a call a span starts with: a chance part of a call, so that of many
// relays with a call in a minute each some try at any time, and the total is what the rule allows.
func (d *Dispatcher) phase(ep *endpoint) float64 {
	return math.Max(0, d.chance.Float64()-d.budget(ep, d.coldFor(ep))*d.s.OverloadWindow.Seconds())
}
