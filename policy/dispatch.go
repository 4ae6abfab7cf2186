package policy

import (
	"math"
	"time"
)

// call is one call out: one message, or a bundle.
type call struct {
	ep       *endpoint
	sent     time.Duration
	open     int // messages without an outcome
	msgs     []*message
	canceled bool // to take its slot back
}

// dispatch gives free slots in turns to the queues that can send: fewest calls out first, and among these
// the message whose worth falls first.
func (d *Dispatcher) dispatch() {
	for d.out < d.s.MaxInFlight && !d.stopping {
		var best *queue
		var ep *endpoint
		var first *message
		for _, q := range d.active {
			if best != nil && len(q.out) > len(best.out) {
				continue
			}
			e, m := d.ready(q)
			if m != nil && (best == nil || len(q.out) < len(best.out) || d.falls(m) < d.falls(first)) {
				best, ep, first = q, e, m
			}
		}
		if best == nil {
			return
		}
		d.send(best, ep, first)
	}
}

// falls is when a message falls under keepWorth; what is under it already comes after all others.
func (d *Dispatcher) falls(m *message) time.Duration {
	at := m.expires - m.class.Deadline + m.class.ageAt(keepWorth)
	if at < d.now {
		at += time.Hour
	}
	return at
}

// ready tells which message a queue would send now and where, if any.
func (d *Dispatcher) ready(q *queue) (*endpoint, *message) {
	most := max(1, int(math.Ceil(slotShare*float64(d.s.MaxInFlight))))
	if len(q.held) == 0 || d.now < q.waitUntil || d.now < q.holdUntil || len(q.out) >= most {
		return nil, nil
	}
	if ep := q.warm; ep != nil && d.open(ep) && (q.pace == 0 || d.tokens(q) >= 1-d.ahead(q)) {
		for _, m := range q.held {
			if d.sendable(m) && d.repeatable(m, ep) {
				return ep, m
			}
		}
	}
	if d.now < q.doorUntil || q.pace > 0 && d.tokens(q) < 1 {
		return nil, nil
	}
	for _, m := range q.held {
		if d.sendable(m) {
			if ep := d.endpoint(q, m); ep != nil {
				return ep, m
			}
		}
	}
	return nil, nil
}

// send starts a call with a message and, where the kind allows it, others of the queue.
func (d *Dispatcher) send(q *queue, ep *endpoint, first *message) {
	c := &call{ep: ep, sent: d.now}
	d.turn++
	q.served = d.turn
	if q.warm == ep {
		q.warm = nil // that connection is taken
	}
	d.out++
	d.wake(q)
	q.out, ep.out = append(q.out, c), append(ep.out, c)
	ep.lastUsed = d.now
	d.spend(q)
	if ep.sick || ep.ramping {
		d.epTokens(ep)
		ep.tokens--
	}
	d.attempt(first, c)
	for i := 0; i < len(q.held) && c.open < q.bundle && !ep.sick; {
		m := q.held[i]
		if d.sendable(m) && d.repeatable(m, ep) {
			d.attempt(m, c)
			continue
		}
		i++
	}
}

// attempt adds one message to a call.
func (d *Dispatcher) attempt(m *message, c *call) {
	m.release()
	within := time.Duration(0)
	if m.firstRun() != nil && m.class.Idempotency == IdempotentByKey {
		within = d.forgotten(m) - d.now // and that may pass while a connection is made
	}
	m.attempts = append(m.attempts, attempt{call: c, sent: d.now, open: true})
	m.open++
	c.open++
	c.msgs = append(c.msgs, m)
	d.act(Send{ID: m.ID, Endpoint: c.ep.ID, Timeout: d.timeout(m, c), WriteWithin: within})
}
