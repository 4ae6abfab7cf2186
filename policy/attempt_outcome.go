package policy

import (
	"math"
	"slices"
)

// ended takes in the outcome of an attempt.
func (d *Dispatcher) ended(e AttemptEnded) {
	m := d.messages[e.ID]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || !m.attempts[e.Attempt].open {
		return
	}
	a := &m.attempts[e.Attempt]
	a.open = false
	m.open--
	a.unrun = !e.OutcomeUnknown && (e.Outcome == Rejected || e.Outcome == ConnectError || e.Outcome == NotSent)
	c := a.call
	if e.LoadReport != nil {
		d.reported(c.ep.q, e.LoadReport.RateLimit)
	}
	if e.Outcome == Rejected && e.RetryAfter > 0 {
		c.ep.q.waitUntil = max(c.ep.q.waitUntil, d.now+min(e.RetryAfter, never-d.now))
		d.unsend(c.ep.q.out, c)
	}
	if c.open--; c.open == 0 {
		d.out--
		c.ep.out, c.ep.q.out = remove(c.ep.out, c), remove(c.ep.q.out, c)
		d.learn(c, m, e)
		if !slices.Contains(d.done, c.ep) {
			d.done = append(d.done, c.ep)
		}
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Canceled {
		m.rest = d.now + d.s.OrderKeyCooldown
	}
	switch {
	case e.Final || e.Outcome == Succeeded:
		d.finish(m)
	case m.over:
		d.retire(m)
	case m.open > 0:
	case m.Background, e.AttemptsExhausted || len(m.attempts) >= d.s.MaxAttempts, d.now >= m.expires-d.s.BatchInterval,
		!d.repeatable(m, nil):
		d.giveUp(m)
	default:
		d.hold(d.route(m), m)
	}
}

// learn draws from a call's end what it tells, by its own time: a relay without turns hears late of it.
func (d *Dispatcher) learn(c *call, m *message, e AttemptEnded) {
	ep, q := c.ep, c.ep.q
	if e.Latency <= 0 {
		e.Latency = d.now - c.sent
	}
	took := min(e.Latency, m.class.Deadline).Seconds()
	if c.sent+e.Latency >= d.lateAt(c, stuckAfter) {
		d.unanswered *= 1 - latencyGain
		if e.Outcome != Succeeded {
			d.unanswered += latencyGain
		}
	}
	switch e.Outcome {
	case Succeeded:
		ep.lastBegun, ep.lastTook = max(ep.lastBegun, c.sent), took
		q.observe(m.Class, took)
		d.pool(q.kind).observe(m.Class, took)
		ep.strikes[m.Class] = 0
		d.succeeded(ep, e.LoadReport == nil || e.LoadReport.Remaining >= roomLeft)
	case Rejected:
		if c.sent >= q.pausedAt {
			// A host that reports its limit in its answers, but not in this one, did not look at it: it has
			// all the connections it takes, or is shut.
			d.full(q, e.LoadReport == nil && q.limit > 0)
		}
	case ConnectError:
		if ep.lastOK > c.sent {
			// Others get through: the endpoint takes no more connections, it is not down.
			ep.connCap = math.Max(1, float64(len(ep.out)))
			return
		}
		d.unreached(ep, c)
		d.failed(ep, c, 1)
	case Failed, ConnectionReset:
		d.failed(ep, c, answeredFailure)
	case TimedOut, Canceled:
		if took > stuckAfter*q.mean && (e.Outcome == TimedOut || c.canceled) {
			d.failed(ep, c, 1)
		}
	}
}
