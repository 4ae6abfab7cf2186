package policy

import (
	"math"
	"time"
)

// maxInFlightShare is the largest share of MaxInFlight that the calls of one queue may use, so that
// no single queue uses all slots.
const maxInFlightShare = 0.5

// call is a call to an endpoint. It carries an attempt of one message, or one attempt of each
// message of a batch.
type call struct {
	endpoint        *endpoint
	sent            time.Duration
	messages        []*message
	pendingOutcomes int  // attempts without an outcome
	cancelled       bool // by cancelCall
}

// dispatch fills the free slots. Each slot goes to the queue with the fewest calls in flight among
// the queues that can send, and in case of a tie to the queue whose next message has the earliest
// usefulUntil.
func (d *Dispatcher) dispatch() {
	for d.inFlight < d.settings.MaxInFlight && !d.quiesced {
		q, ep, m := d.nextQueue()
		if q == nil {
			return
		}
		d.send(q, ep, m)
	}
}

// nextQueue returns the queue that sends next, with the endpoint and the message of its next call.
// It returns nil if no queue can send.
func (d *Dispatcher) nextQueue() (best *queue, ep *endpoint, first *message) {
	for _, q := range d.activeQueues {
		if best != nil && len(q.inFlight) > len(best.inFlight) {
			continue
		}
		e, m := d.nextSend(q)
		if m == nil {
			continue
		}
		if best == nil || len(q.inFlight) < len(best.inFlight) || d.usefulUntil(m) < d.usefulUntil(first) {
			best, ep, first = q, e, m
		}
	}
	return best, ep, first
}

// usefulUntil returns the time at which the value of a message falls below minUsefulValue. For a
// message whose value is already lower, it returns a later time, so that the message is sent after
// the others.
func (d *Dispatcher) usefulUntil(m *message) time.Duration {
	const afterAllOthers = time.Hour
	at := m.deadline - m.terms.Deadline + m.terms.ageAtValue(minUsefulValue)
	if at < d.now {
		at += afterAllOthers
	}
	return at
}

// nextSend returns the message that a queue would send now and the endpoint that it would send the
// message to. It returns nil if the queue can send no message now.
func (d *Dispatcher) nextSend(q *queue) (*endpoint, *message) {
	limit := max(1, int(math.Ceil(maxInFlightShare*float64(d.settings.MaxInFlight))))
	if len(q.queued) == 0 || d.now < q.retryAfterUntil || d.now < q.backoffUntil || len(q.inFlight) >= limit {
		return nil, nil
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

// send starts a call with a message. If the kind of destination allows batches, further messages of
// the queue join the call.
func (d *Dispatcher) send(q *queue, ep *endpoint, first *message) {
	c := &call{endpoint: ep, sent: d.now}
	d.trackCall(c)
	ep.lastUsed = d.now
	d.consumeSendToken(q)
	d.consumeRecoveryToken(ep)
	d.addAttempt(first, c)
	for i := 0; i < len(q.queued) && c.pendingOutcomes < q.maxBatch && !ep.health.isUnhealthy(); {
		m := q.queued[i]
		if d.attemptAllowed(m) && d.retryAllowed(m, ep) {
			d.addAttempt(m, c) // dequeues it
			continue
		}
		i++
	}
}

// trackCall registers a call as in flight.
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
		writeWithin = d.keyExpiry(m) - d.now // the key may expire while the connection is established
	}
	m.attempts = append(m.attempts, attempt{call: c, sent: d.now, state: attemptInFlight})
	m.openAttempts++
	c.pendingOutcomes++
	c.messages = append(c.messages, m)
	d.emit(Send{ID: m.ID, Endpoint: c.endpoint.ID, Timeout: d.attemptTimeout(m, c), WriteWithin: writeWithin})
}
