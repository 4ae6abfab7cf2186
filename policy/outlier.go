package policy

import (
	"math"
	"time"
)

const (
	// failuresToSick failures in a row mark an endpoint sick; single errors are ordinary. An error or a
	// broken connection counts for answeredFailure: something is alive there.
	failuresToSick, answeredFailure = 2, 0.5
	// shutAfter of nothing but refusals means that the destination is shut rather than at its limit:
	// longer than the spans in which receivers commonly count calls.
	shutAfter = 2500 * time.Millisecond
)

// failed notes a failure of an endpoint; one of a call sent before its last success tells nothing new.
func (d *Dispatcher) failed(ep *endpoint, c *call, n float64) {
	for _, m := range c.msgs {
		ep.strikes[m.Class] += n / float64(len(c.msgs))
	}
	if ep.lastOK > c.sent {
		return
	}
	ep.failures += n
	if ep.failures >= failuresToSick || d.once(ep.q, 1) && 2*ep.failures >= failuresToSick {
		d.sicken(ep)
	}
}

// unreached notes a connection that could not be had against all endpoints of a destination. It guards
// against an outage of them all that shows at each one late, where relays are so many that each has few
// calls; where they are so few that a third is long in coming, two do. An endpoint that is out by itself is
// sick before it is more than that. A link that is cut looks like machines that are gone: what is behind it
// is treated as cold as well, as it may be.
func (d *Dispatcher) unreached(ep *endpoint, c *call) {
	q := ep.q
	if d.keeps() || ep.sick || q.lastOK > c.sent {
		return
	}
	q.failures++
	if q.failures > failuresToSick || d.sparse(q) && q.failures >= failuresToSick {
		for _, other := range q.eps {
			d.sicken(other)
		}
	}
}

// once tells whether n failures or refusals are all that may be seen before the budget is kept to. That
// costs what the budget holds back where the destination was only at its limit; others, who were not
// refused, use the room. Half of the relays may knock once more, by chance, but not after a told wait,
// when all would; and an outage that began after a success just now is not about to end.
func (d *Dispatcher) once(q *queue, n int) bool {
	if !d.sparse(q) || q.lastOK > 0 && d.now-q.lastOK <= shutAfter {
		return false
	}
	return n >= failuresToSick || d.now < q.waitUntil || d.chance.Float64() < onceShare
}

// sicken marks an endpoint sick and lets the messages of its route choose again.
func (d *Dispatcher) sicken(ep *endpoint) {
	if ep.sick {
		return
	}
	ep.sick, ep.ramping, ep.sickAt, ep.q.ill = true, false, d.now, true
	if !ep.Removed {
		d.down++
	}
	ep.tokens, ep.tokensAt = d.phase(ep), max(d.now, ep.q.waitUntil)
	d.act(PersistHealth{Endpoint: ep.ID, Unhealthy: true, At: d.now})
	if ep.q.apart {
		d.reroute(ep.q)
	}
}

// succeeded notes a success: an endpoint that was sick starts its ramp.
func (d *Dispatcher) succeeded(ep *endpoint, room bool) {
	q := ep.q
	ep.failures, ep.lastOK, q.lastOK = 0, d.now, d.now
	if ep.connCap > 0 {
		ep.connCap += connRaise // other relays close idle connections
	}
	if ep.sick {
		d.epTokens(ep)
		ep.sick, ep.ramping, ep.recovered = false, true, d.now
		if !ep.Removed {
			d.down--
		}
		ep.tokens = math.Max(ep.tokens, d.phase(ep))
		d.act(PersistHealth{Endpoint: ep.ID, At: d.now})
		for _, other := range q.eps {
			other.tokens = math.Max(other.tokens, 1) // outages mostly end for a whole destination
		}
	}
	q.fulls, q.failures, q.ill = 0, 0, false
	if room && !ep.ramping && !d.keeps() {
		q.warm = ep
	}
	if q.pace > 0 && len(q.held) > 0 && room {
		own := math.Max(d.even(q), math.Min(q.pace, pacedCalls/burstSpan.Seconds()))
		q.pace = math.Min(q.pace+paceRaise*own*math.Min(1, raisesASecond/q.pace), q.rate())
	}
}
