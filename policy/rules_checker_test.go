package policy_test

import (
	"fmt"
	"time"

	"frostlink/policy"
)

const outcomeTolerance = 20 * time.Millisecond

// checker tracks events and actions and reports the first violation of one of six rules:
//
//  1. Each message gets exactly one terminal outcome, by its deadline.
//  2. A message gets no second attempt and no rejection that its idempotency forbids.
//  3. No message is sent to an endpoint that is draining or removed.
//  4. An endpoint in an outage gets no more calls than a cold destination bears.
//  5. Messages with the same order key are sent one at a time, in order of arrival.
//  6. No message is sent before a Retry-After has passed.
//
// The checker implements the rules independently and shares no code with the package under test.
type checker struct {
	settings        policy.Settings
	now             time.Duration // time of the current batch
	messages        map[string]*messageHistory
	order           []*messageHistory // in order of arrival
	endpoints       map[string]*endpointHistory
	retryAfterUntil map[string]time.Duration   // by endpointHistory.scope
	failures        map[string]int             // consecutive failures, by endpoint
	lastSuccess     map[string]time.Duration   // by endpoint
	lastFailureSent map[string]time.Duration   // by endpoint
	sends           map[string][]time.Duration // send times during outages, by endpointHistory.scope
}

// messageHistory is the history of a message.
type messageHistory struct {
	policy.Arrived
	class         policy.Class
	deadline      time.Duration
	attempts      []attemptHistory
	completed     bool
	cancelledAt   time.Duration // a terminal outcome in the same batch is no violation
	cooldownUntil time.Duration
}

// firstExecuted returns the first attempt that may have executed, under any ID of the message.
func (m *messageHistory) firstExecuted() *attemptHistory {
	for _, earlier := range m.EarlierAttempts {
		if !earlier.NotExecuted {
			return &attemptHistory{endpoint: earlier.Endpoint, sent: earlier.SentAt}
		}
	}
	for i := range m.attempts {
		if !m.attempts[i].notExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}

// attemptHistory is the history of an attempt.
type attemptHistory struct {
	endpoint    string
	sent        time.Duration
	open        bool
	notExecuted bool
	timeout     time.Duration
}

// endpointHistory is an endpoint that is or was listed.
type endpointHistory struct {
	policy.Endpoint
	closed bool
	scope  string // what Retry-After and outages apply to: the destination or the separate route
}

func newChecker(s policy.Settings) *checker {
	return &checker{
		settings: s, messages: map[string]*messageHistory{}, endpoints: map[string]*endpointHistory{},
		retryAfterUntil: map[string]time.Duration{},
		failures:        map[string]int{}, lastSuccess: map[string]time.Duration{}, lastFailureSent: map[string]time.Duration{},
		sends: map[string][]time.Duration{},
	}
}

// applyEndpoints applies a change of the endpoint list.
func (c *checker) applyEndpoints(e policy.EndpointsChanged) {
	listed := map[string]bool{}
	for _, x := range e.Endpoints {
		listed[x.ID] = true
		p := c.endpoints[x.ID]
		if p == nil {
			p = &endpointHistory{scope: fmt.Sprint("d", x.Destination)}
			if x.Kind < len(c.settings.Kinds) && c.settings.Kinds[x.Kind].SeparateRoutes {
				p.scope = x.ID
			}
			c.endpoints[x.ID] = p
		}
		p.Endpoint, p.closed = x, x.Draining || x.Removed
	}
	for id, p := range c.endpoints {
		if e.Full && !listed[id] {
			p.closed = true
		}
	}
}

// attemptEnded applies the outcome of an attempt.
func (c *checker) attemptEnded(e policy.AttemptEnded) {
	m := c.messages[e.ID]
	if m == nil || e.Attempt >= len(m.attempts) || !m.attempts[e.Attempt].open {
		return
	}
	t := &m.attempts[e.Attempt]
	t.open = false
	t.notExecuted = e.Outcome == policy.Rejected || e.Outcome == policy.ConnectError || e.Outcome == policy.NotSent
	if e.Outcome == policy.TimedOut || e.Outcome == policy.ConnectionReset || e.Outcome == policy.Canceled {
		m.cooldownUntil = c.now + c.settings.OrderKeyCooldown
	}
	switch {
	case e.Outcome == policy.Succeeded:
		m.completed = true
		c.failures[t.endpoint], c.lastSuccess[t.endpoint] = 0, c.now
	case t.sent <= max(c.lastSuccess[t.endpoint], c.lastFailureSent[t.endpoint]):
		// No new information: the call was sent before the endpoint's last success, or no later
		// than a call whose failure is already counted, such as the call of the same batch.
	case e.Outcome == policy.Failed || e.Outcome == policy.ConnectionReset || e.Outcome == policy.ConnectError:
		c.failures[t.endpoint]++
		c.lastFailureSent[t.endpoint] = t.sent
	}
	if e.RetryAfter > 0 {
		scope := c.endpoints[t.endpoint].scope
		c.retryAfterUntil[scope] = max(c.retryAfterUntil[scope], c.now+e.RetryAfter)
	}
	m.completed = m.completed || e.Final
}

// events applies a batch of events.
func (c *checker) events(now time.Duration, events []policy.Event) {
	c.now = now
	for _, e := range events {
		switch e := e.(type) {
		case policy.Arrived:
			m := &messageHistory{Arrived: e, class: c.settings.Classes[e.Class], deadline: now + e.TimeLeft, cancelledAt: -1}
			c.messages[e.ID] = m
			c.order = append(c.order, m)
		case policy.AttemptEnded:
			c.attemptEnded(e)
		case policy.MessageCanceled:
			if m := c.messages[e.ID]; m != nil && !m.completed {
				m.completed, m.cancelledAt = true, now
			}
		case policy.EndpointsChanged:
			c.applyEndpoints(e)
		}
	}
}

// checkActions checks the actions of a batch.
func (c *checker) checkActions(actions []policy.Action) error {
	for _, a := range actions {
		var err error
		switch a := a.(type) {
		case policy.Send:
			err = c.checkSend(a)
		case policy.Reject:
			err = c.checkReject(a)
		case policy.Fail:
			if m := c.messages[a.ID]; m == nil || m.completed && m.cancelledAt != c.now {
				err = fmt.Errorf("rule 1: %s failed after it was completed", a.ID)
			} else {
				m.completed = true
			}
		}
		if err != nil {
			return fmt.Errorf("at %v: %w", c.now, err)
		}
	}
	for _, m := range c.order {
		if m.Background && !m.completed && len(m.attempts) == 0 {
			return fmt.Errorf("at %v: background message %s waits", c.now, m.ID)
		}
		if !m.completed && c.now > m.deadline+outcomeTolerance {
			return fmt.Errorf("at %v: rule 1: %s has no terminal outcome, deadline %v", c.now, m.ID, m.deadline)
		}
	}
	return nil
}

// checkReject checks a rejection.
func (c *checker) checkReject(a policy.Reject) error {
	m := c.messages[a.ID]
	if m == nil || m.completed && m.cancelledAt != c.now {
		return fmt.Errorf("rule 1: %s rejected after it was completed", a.ID)
	}
	m.completed = true
	safe := m.class.Idempotency == policy.Idempotent || m.class.Idempotency == policy.IdempotentByKey && !m.class.KeyPerZone
	returnedUnsent := m.Background && len(m.attempts) == 0 // to its store, which knows the earlier attempts
	if m.firstExecuted() != nil && !safe && !returnedUnsent {
		return fmt.Errorf("rule 2: %s rejected although it may have executed", a.ID)
	}
	return nil
}

// checkSend checks the start of an attempt.
func (c *checker) checkSend(a policy.Send) error {
	m, p := c.messages[a.ID], c.endpoints[a.Endpoint]
	switch {
	case m == nil || m.completed:
		return fmt.Errorf("rule 1: %s sent after it was completed", a.ID)
	case p == nil || p.Destination != m.Destination:
		return fmt.Errorf("%s sent to %s, which is not an endpoint of its destination", a.ID, a.Endpoint)
	case p.closed:
		return fmt.Errorf("rule 3: %s sent to %s, which is draining or removed", a.ID, a.Endpoint)
	case c.now < c.retryAfterUntil[p.scope]:
		return fmt.Errorf("rule 6: %s sent to %s before Retry-After has passed", a.ID, a.Endpoint)
	}
	for _, t := range m.attempts {
		if t.open && !c.settings.Hedging {
			return fmt.Errorf("rule 2: %s has two attempts in flight", a.ID)
		}
	}
	if t := m.firstExecuted(); t != nil {
		switch {
		case m.class.Idempotency == policy.NotIdempotent:
			return fmt.Errorf("rule 2: %s sent again although it is not idempotent", a.ID)
		case m.class.Idempotency == policy.IdempotentByKey && c.now > t.sent+m.class.KeyTTL:
			return fmt.Errorf("rule 2: %s sent after its idempotency key expired", a.ID)
		case m.class.Idempotency == policy.IdempotentByKey && m.class.KeyPerZone && !c.inZoneOf(t.endpoint, p):
			return fmt.Errorf("rule 2: %s sent to another zone than its idempotency key", a.ID)
		}
	}
	switch {
	case len(m.EarlierAttempts)+len(m.attempts) >= c.settings.MaxAttempts:
		return fmt.Errorf("rule 2: %s has had %d attempts", a.ID, len(m.EarlierAttempts)+len(m.attempts))
	case m.Background && len(m.attempts) > 0:
		return fmt.Errorf("background message %s sent again", a.ID)
	}
	if err := c.checkOrder(m); err != nil {
		return err
	}
	m.attempts = append(m.attempts, attemptHistory{endpoint: a.Endpoint, sent: c.now, open: true, timeout: a.Timeout})
	return c.checkOutage(p)
}

// inZoneOf reports whether an endpoint is known and in the same zone as another.
func (c *checker) inZoneOf(id string, other *endpointHistory) bool {
	p := c.endpoints[id]
	return p != nil && p.Zone == other.Zone
}

// checkOrder checks the order of messages with the same order key.
func (c *checker) checkOrder(m *messageHistory) error {
	if !m.class.Ordered || m.OrderKey == "" {
		return nil
	}
	for _, earlier := range c.order {
		if earlier == m {
			return nil
		}
		if earlier.OrderKey != m.OrderKey || !earlier.class.Ordered {
			continue
		}
		open := !earlier.completed || c.now < earlier.cooldownUntil
		for _, t := range earlier.attempts {
			open = open || t.open
		}
		if open {
			return fmt.Errorf("rule 5: %s sent before %s was completed", m.ID, earlier.ID)
		}
	}
	return nil
}

// checkOutage checks that an endpoint whose calls all fail gets no more calls than this relay's
// share of the load that a cold destination bears. The budget also allows one call per endpoint,
// one call that the recovery of another endpoint brings forward, and two for random variation.
func (c *checker) checkOutage(p *endpointHistory) error {
	const outageFailures = 5 // consecutive failures that certainly mean an outage
	if c.failures[p.ID] < outageFailures {
		return nil
	}
	list := c.sends[p.scope]
	if n := len(list); n > 0 && list[n-1] == c.now && c.settings.Kinds[p.Kind].MaxBatch > 1 {
		return nil // another message of the same call
	}
	list = append(list, c.now)
	for list[0] <= c.now-c.settings.OverloadWindow {
		list = list[1:]
	}
	c.sends[p.scope] = list
	endpoints := 0
	for _, other := range c.endpoints {
		if other.scope == p.scope {
			endpoints++
		}
	}
	weight := p.Weight
	if c.settings.Weights == policy.WeightsOff {
		weight = float64(c.settings.Instances)
	}
	allRelays := c.settings.OverloadFactor * c.settings.ColdCapacity * weight * c.settings.OverloadWindow.Seconds()
	if budget := allRelays/float64(c.settings.Instances) + float64(endpoints+3); float64(len(list)) > budget {
		return fmt.Errorf("rule 4: %d sends to %s within %v, %.1f allowed, %d endpoints, sent at %v, settings %+v",
			len(list), p.ID, c.settings.OverloadWindow, budget, endpoints, list, c.settings)
	}
	return nil
}
