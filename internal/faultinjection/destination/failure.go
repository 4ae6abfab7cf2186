package destination

import (
	"math"
	"slices"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// speed is how fast an endpoint works at present: 1 when warm and well.
func (p *Model) speed(e *endpoint) float64 {
	if e.paused || e.stopped {
		return 0
	}
	return p.warmth(e) / e.slow
}

// warmth is the share of its capacity that an endpoint has: it rises evenly from the cold share on.
func (p *Model) warmth(e *endpoint) float64 {
	warm := scenario.Seconds(p.spec.SlowStartTime)
	if !e.cold || p.now >= e.warmFrom+warm {
		return 1
	}
	return p.spec.ColdCapacity + (1-p.spec.ColdCapacity)*float64(p.now-e.warmFrom)/float64(warm)
}

// due is when a call will be done if nothing changes.
func (p *Model) due(e *endpoint, c *Attempt) time.Duration {
	if e.paused || e.stopped || e.mode >= ModeRefusing {
		return never
	}
	need := c.left.Seconds() * e.slow
	warm := scenario.Seconds(p.spec.SlowStartTime)
	ends := e.warmFrom + warm
	if !e.cold || c.since >= ends {
		return c.since + scenario.Seconds(need)
	}
	// While it warms, work goes at v0 + a·t; what is left of it at the end goes at speed 1.
	a := (1 - p.spec.ColdCapacity) / warm.Seconds()
	v0 := p.spec.ColdCapacity + a*(c.since-e.warmFrom).Seconds()
	span := (ends - c.since).Seconds()
	if until := v0*span + a*span*span/2; need > until {
		return ends + scenario.Seconds(need-until)
	}
	return c.since + scenario.Seconds((math.Sqrt(v0*v0+2*a*need)-v0)/a)
}

// settle notes what of the running calls is done by now, before the speed changes.
func (p *Model) settle(e *endpoint) {
	for _, c := range e.running {
		due := p.due(e, c)
		if due == never {
			c.since = p.now
			continue
		}
		// What is left is what the present speed and the ramp would need from now to due.
		c.left = p.work(e, p.now, max(due, p.now))
		c.since = p.now
	}
}

// work is how much an endpoint does between two times at its present slowness.
func (p *Model) work(e *endpoint, from, to time.Duration) time.Duration {
	done := (to - from).Seconds()
	if warm := scenario.Seconds(p.spec.SlowStartTime); e.cold && from < e.warmFrom+warm {
		at := func(t time.Duration) float64 {
			return p.spec.ColdCapacity + (1-p.spec.ColdCapacity)*(t-e.warmFrom).Seconds()/warm.Seconds()
		}
		end := min(to, e.warmFrom+warm)
		done = (at(from)+at(end))/2*(end-from).Seconds() + (to - end).Seconds()
	}
	return scenario.Seconds(done / e.slow)
}

// each does something to one endpoint, or to all that are still there, at a time.
func (p *Model) each(now time.Duration, at int, do func(e *endpoint)) []Action {
	p.advance(now)
	for i, e := range p.endpoints {
		if (at < 0 || at == i) && !e.removed {
			p.settle(e)
			do(e)
		}
	}
	return p.flush()
}

// Fail puts an endpoint (all: -1) into a mode; share is for Failing. What it had is lost where it no longer answers.
func (p *Model) Fail(now time.Duration, at int, m Mode, share float64) []Action {
	if at < 0 {
		p.fallen = 0 // this outage takes the place of one by a fall
	}
	return p.each(now, at, func(e *endpoint) {
		e.mode, e.share = m, share
		if m >= ModeRefusing {
			p.lose(e)
		}
	})
}

func (p *Model) lose(e *endpoint) {
	for _, c := range slices.Concat(e.running, e.queue) {
		p.forget(c)
	}
	e.running, e.queue = nil, nil
}

// Recover ends an outage. A cold endpoint begins to warm.
func (p *Model) Recover(now time.Duration, at int, cold bool) []Action {
	return p.each(now, at, func(e *endpoint) {
		if p.fallen > now {
			return // it was pushed over, and stays down
		}
		e.mode, e.cold, e.warmFrom = ModeServing, cold, now
		p.arrivals = nil
		p.fill(e)
	})
}

// SetSlowdown divides an endpoint's speed.
func (p *Model) SetSlowdown(now time.Duration, at int, by float64) []Action {
	return p.each(now, at, func(e *endpoint) { e.slow = by })
}

// SetResetShare has a share of an endpoint's calls end by a reset after the body.
func (p *Model) SetResetShare(now time.Duration, at int, share float64) []Action {
	return p.each(now, at, func(e *endpoint) { e.resets = share })
}

// SetStopped stops an endpoint's work or lets it go on.
func (p *Model) SetStopped(now time.Duration, at int, stopped bool) []Action {
	return p.each(now, at, func(e *endpoint) { e.stopped = stopped })
}

// DrainEndpoint has an endpoint finish what it has and take nothing new.
func (p *Model) DrainEndpoint(now time.Duration, at int) []Action {
	return p.each(now, at, func(e *endpoint) { e.draining = true })
}

// RemoveEndpoint takes an endpoint away; what it still has is lost.
func (p *Model) RemoveEndpoint(now time.Duration, at int) []Action {
	return p.each(now, at, func(e *endpoint) {
		p.lose(e)
		e.removed, e.mode = true, ModeRefusing
	})
}

// Capacity is the calls a second that the partner can serve at present.
func (p *Model) Capacity() float64 {
	sum := 0.0
	for _, e := range p.endpoints {
		if !e.removed && !e.draining && e.mode < ModeRefusing && e.mode != ModeOverloaded {
			sum += p.speed(e)
		}
	}
	return sum * float64(p.spec.Concurrency) / p.script.MeanServiceTime(p.spec)
}

// Cold tells whether the whole partner is back from an outage and not yet warm.
func (p *Model) Cold() bool {
	any := false
	for _, e := range p.endpoints {
		if e.removed || e.draining {
			continue
		}
		if e.mode >= ModeRefusing || e.mode == ModeOverloaded || p.warmth(e) >= 1 {
			return false
		}
		any = true
	}
	return any
}

// push counts a call against what a cold partner bears. Sent more than the rule's multiple of what it can do for
// the rule's span, it falls over and stays down.
func (p *Model) push() {
	if !p.Cold() {
		p.arrivals = nil
		return
	}
	r := &p.script.Rules
	p.arrivals = append(p.arrivals, p.now)
	for p.arrivals[0] < p.now-scenario.Seconds(r.OverloadWindow) {
		p.arrivals = p.arrivals[1:]
	}
	if float64(len(p.arrivals)) <= r.OverloadFactor*p.Capacity()*r.OverloadWindow+OverloadSlack {
		return
	}
	p.arrivals = nil
	p.falls++
	p.fallen = p.now + scenario.Seconds(p.spec.OverloadDowntime)
	for i, e := range p.endpoints {
		if !e.removed {
			e.mode = ModeRefusing
			p.lose(e)
			p.actions = append(p.actions, Action{ModeChange: &ModeChange{i, ModeRefusing, p.now}})
		}
	}
}

// back brings an endpoint that fell over back, cold.
func (p *Model) back(i int) {
	if e := p.endpoints[i]; !e.removed && e.mode == ModeRefusing {
		e.mode, e.cold, e.warmFrom = ModeServing, true, p.now
		p.actions = append(p.actions, Action{ModeChange: &ModeChange{i, ModeServing, p.now}})
	}
}
