package policy

import (
	"math"
	"time"
)

// maxInFlightShare of MaxInFlight is the most that one queue may have in flight: no queue takes all
// slots.
const maxInFlightShare = 0.5

// call is one call in flight to an endpoint, with an attempt of one message or of a batch of them.
type call struct {
	endpoint  *endpoint
	sent      time.Duration
	messages  []*message
	open      int  // messages without an outcome
	cancelled bool // to free its slot
}

// dispatch fills the free slots. Each goes to the queue with the fewest calls in flight that can
// send, and among these to the one whose message runs out of time first.
func (d *Dispatcher) dispatch() {
	for d.inFlight < d.settings.MaxInFlight && !d.quiesced {
		q, ep, m := d.nextQueue()
		if q == nil {
			return
		}
		d.send(q, ep, m)
	}
}

// nextQueue returns the queue that sends next, and what it sends where; nil if none can send.
func (d *Dispatcher) nextQueue() (best *queue, ep *endpoint, first *message) {
	for _, q := range d.activeQueues {
		if best != nil && len(q.inFlight) > len(best.inFlight) {
			continue
		}
		e, m := d.nextSend(q)
		if m == nil {
			continue
		}
		if best == nil || len(q.inFlight) < len(best.inFlight) || d.objectiveExpiry(m) < d.objectiveExpiry(first) {
			best, ep, first = q, e, m
		}
	}
	return best, ep, first
}

// objectiveExpiry returns when a message falls under minUsefulValue. One that is under it already
// comes after all others.
func (d *Dispatcher) objectiveExpiry(m *message) time.Duration {
	const afterAllOthers = time.Hour
	at := m.deadline - m.terms.Deadline + m.terms.ageAtValue(minUsefulValue)
	if at < d.now {
		at += afterAllOthers
	}
	return at
}

// nextSend returns the message that a queue would send now, and where; nil if there is none.
func (d *Dispatcher) nextSend(q *queue) (*endpoint, *message) {
	most := max(1, int(math.Ceil(maxInFlightShare*float64(d.settings.MaxInFlight))))
	if len(q.queued) == 0 || d.now < q.retryAfterUntil || d.now < q.backoffUntil || len(q.inFlight) >= most {
		return nil, nil
	}
	if ep, m := d.nextOnReusableConn(q); m != nil {
		return ep, m
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

// nextOnReusableConn returns the message that a queue would send on a connection that has just
// carried a call; nil if there is none.
func (d *Dispatcher) nextOnReusableConn(q *queue) (*endpoint, *message) {
	ep := q.reusableConn
	if ep == nil || !d.acceptsCall(ep) || q.sendRate != 0 && d.sendTokens(q) < 1-d.tokenDebt(q) {
		return nil, nil
	}
	for _, m := range q.queued {
		if d.attemptAllowed(m) && d.retryAllowed(m, ep) {
			return ep, m
		}
	}
	return nil, nil
}

// send starts a call with a message and, where the kind of destination allows a batch, others of
// the queue.
func (d *Dispatcher) send(q *queue, ep *endpoint, first *message) {
	c := &call{endpoint: ep, sent: d.now}
	if q.reusableConn == ep {
		q.reusableConn = nil // this call takes it
	}
	d.trackCall(c)
	ep.lastUsed = d.now
	d.consumeSendToken(q)
	d.consumeRecoveryToken(ep)
	d.addAttempt(first, c)
	for i := 0; i < len(q.queued) && c.open < q.maxBatch && !ep.health.isUnhealthy(); {
		m := q.queued[i]
		if d.attemptAllowed(m) && d.retryAllowed(m, ep) {
			d.addAttempt(m, c) // dequeues it
			continue
		}
		i++
	}
}

// trackCall counts a call as in flight.
func (d *Dispatcher) trackCall(c *call) {
	ep, q := c.endpoint, c.endpoint.queue
	d.inFlight++
	ep.inFlight = append(ep.inFlight, c)
	q.inFlight = append(q.inFlight, c)
	d.activate(q)
}

// addAttempt adds an attempt of a message to a call.
func (d *Dispatcher) addAttempt(m *message, c *call) {
	m.dequeue()
	writeWithin := time.Duration(0)
	if m.firstExecuted() != nil && m.terms.Idempotency == IdempotentByKey {
		writeWithin = d.keyExpiry(m) - d.now // which may pass while a connection is made
	}
	m.attempts = append(m.attempts, attempt{call: c, sent: d.now, state: attemptInFlight})
	m.openAttempts++
	c.open++
	c.messages = append(c.messages, m)
	d.emit(Send{ID: m.ID, Endpoint: c.endpoint.ID, Timeout: d.attemptTimeout(m, c), WriteWithin: writeWithin})
}
