package policy

import (
	"math"
	"time"
)

// call is one call out: one message, or a bundle.
type call struct {
	endpoint  *endpoint
	sent      time.Duration
	open      int // messages without an outcome
	messages  []*message
	cancelled bool // to take its slot back
}

// dispatch gives free slots in turns to the queues that can send: fewest calls out first, and among these
// the message whose worth falls first.
func (d *Dispatcher) dispatch() {
	for d.inFlight < d.settings.MaxInFlight && !d.quiesced {
		var best *queue
		var ep *endpoint
		var first *message
		for _, q := range d.activeQueues {
			if best != nil && len(q.inFlight) > len(best.inFlight) {
				continue
			}
			e, m := d.nextSend(q)
			if m != nil && (best == nil || len(q.inFlight) < len(best.inFlight) || d.objectiveExpiry(m) < d.objectiveExpiry(first)) {
				best, ep, first = q, e, m
			}
		}
		if best == nil {
			return
		}
		d.send(best, ep, first)
	}
}

// objectiveExpiry is when a message falls under keepWorth; what is under it already comes after all others.
func (d *Dispatcher) objectiveExpiry(m *message) time.Duration {
	at := m.deadline - m.class.Deadline + m.class.ageAtValue(minUsefulValue)
	if at < d.now {
		at += time.Hour
	}
	return at
}

// nextSend tells which message a queue would send now and where, if any.
func (d *Dispatcher) nextSend(q *queue) (*endpoint, *message) {
	most := max(1, int(math.Ceil(maxInFlightShare*float64(d.settings.MaxInFlight))))
	if len(q.queued) == 0 || d.now < q.retryAfterUntil || d.now < q.backoffUntil || len(q.inFlight) >= most {
		return nil, nil
	}
	if ep := q.reusableConn; ep != nil && d.acceptsCall(ep) && (q.sendRate == 0 || d.sendTokens(q) >= 1-d.tokenDebt(q)) {
		for _, m := range q.queued {
			if d.attemptAllowed(m) && d.retryAllowed(m, ep) {
				return ep, m
			}
		}
	}
	if d.now < q.connHoldUntil || q.sendRate > 0 && d.sendTokens(q) < 1 {
		return nil, nil
	}
	for _, m := range q.queued {
		if d.attemptAllowed(m) {
			if ep := d.selectEndpoint(q, m); ep != nil {
				return ep, m
			}
		}
	}
	return nil, nil
}

// send starts a call with a message and, where the kind allows it, others of the queue.
func (d *Dispatcher) send(q *queue, ep *endpoint, first *message) {
	c := &call{endpoint: ep, sent: d.now}
	d.turn++
	q.served = d.turn
	if q.reusableConn == ep {
		q.reusableConn = nil // that connection is taken
	}
	d.inFlight++
	d.activate(q)
	q.inFlight, ep.inFlight = append(q.inFlight, c), append(ep.inFlight, c)
	ep.lastUsed = d.now
	d.consumeToken(q)
	if ep.sick || ep.ramping {
		d.recoveryTokens(ep)
		ep.tokens--
	}
	d.addAttempt(first, c)
	for i := 0; i < len(q.queued) && c.open < q.maxBatch && !ep.sick; {
		m := q.queued[i]
		if d.attemptAllowed(m) && d.retryAllowed(m, ep) {
			d.addAttempt(m, c)
			continue
		}
		i++
	}
}

// addAttempt adds one message to a call.
func (d *Dispatcher) addAttempt(m *message, c *call) {
	m.dequeue()
	within := time.Duration(0)
	if m.firstExecuted() != nil && m.class.Idempotency == IdempotentByKey {
		within = d.keyExpiry(m) - d.now // and that may pass while a connection is made
	}
	m.attempts = append(m.attempts, attempt{call: c, sent: d.now, open: true})
	m.open++
	c.open++
	c.messages = append(c.messages, m)
	d.emit(Send{ID: m.ID, Endpoint: c.endpoint.ID, Timeout: d.attemptTimeout(m, c), WriteWithin: within})
}
