package policy_test

import (
	"fmt"
	"time"

	"frostlink/policy"
)

const answerTolerance = 20 * time.Millisecond

// checker follows events and actions and reports the first action that breaks one of the six rules:
//
//  1. Each message gets exactly one terminal outcome, by its deadline.
//  2. No second attempt, and no rejection, that idempotency forbids.
//  3. Nothing is sent to an endpoint that drains or was removed.
//  4. An endpoint in an outage gets no more calls than a cold destination bears.
//  5. Messages with one order key are sent one at a time, in order of arrival.
//  6. Nothing is sent before a Retry-After has passed.
//
// It is written from the wording of the rules and shares no code with the module.
type checker struct {
	settings        policy.Settings
	now             time.Duration // of the batch
	messages        map[string]*messageHistory
	order           []*messageHistory // in order of arrival
	endpoints       map[string]*endpointHistory
	retryAfterUntil map[string]time.Duration   // by endpointHistory.scope
	failures        map[string]int             // consecutive failures, by endpoint
	lastSuccess     map[string]time.Duration   // by endpoint
	lastFailureSent map[string]time.Duration   // by endpoint
	sends           map[string][]time.Duration // during outages, by endpointHistory.scope
}

// messageHistory is a message with its attempts.
type messageHistory struct {
	policy.Arrived
	class         policy.Class
	deadline      time.Duration
	attempts      []attemptHistory
	completed     bool
	cancelledAt   time.Duration // an outcome in the same batch breaks no rule
	cooldownUntil time.Duration
}

// firstExecuted returns the first attempt that may have executed.
func (m *messageHistory) firstExecuted() *attemptHistory {
	for i := range m.attempts {
		if !m.attempts[i].notExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}

// attemptHistory is one attempt of a message.
type attemptHistory struct {
	endpoint    string
	sent        time.Duration
	open        bool
	notExecuted bool
	timeout     time.Duration
}

// endpointHistory is an endpoint of the list.
type endpointHistory struct {
	policy.Endpoint
	closed bool
	scope  string // what Retry-After and outages bind: the destination, or the separate route
}

func newChecker(s policy.Settings) *checker {
	return &checker{
		settings: s, messages: map[string]*messageHistory{}, endpoints: map[string]*endpointHistory{},
		retryAfterUntil: map[string]time.Duration{},
		failures:        map[string]int{}, lastSuccess: map[string]time.Duration{}, lastFailureSent: map[string]time.Duration{},
		sends: map[string][]time.Duration{},
	}
}

// list applies a change of the endpoint list.
func (c *checker) list(e policy.EndpointsChanged) {
	named := map[string]bool{}
	for _, x := range e.Endpoints {
		named[x.ID] = true
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
		if e.Full && !named[id] {
			p.closed = true
		}
	}
}

// ended applies the outcome of an attempt.
func (c *checker) ended(e policy.AttemptEnded) {
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
		// Tells nothing new: an old call, or another message of a batch.
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
			c.ended(e)
		case policy.MessageCanceled:
			if m := c.messages[e.ID]; m != nil && !m.completed {
				m.completed, m.cancelledAt = true, now
			}
		case policy.EndpointsChanged:
			c.list(e)
		}
	}
}

// actions checks the actions on a batch.
func (c *checker) actions(actions []policy.Action) error {
	for _, a := range actions {
		var err error
		switch a := a.(type) {
		case policy.Send:
			err = c.send(a)
		case policy.Reject:
			err = c.reject(a)
		case policy.Fail:
			if m := c.messages[a.ID]; m == nil || m.completed && m.cancelledAt != c.now {
				err = fmt.Errorf("rule 1: %s failed, but it is completed", a.ID)
			} else {
				m.completed = true
			}
		}
		if err != nil {
			return fmt.Errorf("at %v: %w", c.now, err)
		}
	}
	for _, m := range c.order {
		if !m.completed && c.now > m.deadline+answerTolerance {
			return fmt.Errorf("at %v: rule 1: %s has no outcome by %v", c.now, m.ID, m.deadline)
		}
	}
	return nil
}

// reject checks a rejection.
func (c *checker) reject(a policy.Reject) error {
	m := c.messages[a.ID]
	if m == nil || m.completed && m.cancelledAt != c.now {
		return fmt.Errorf("rule 1: %s rejected, but it is completed", a.ID)
	}
	m.completed = true
	safe := m.class.Idempotency == policy.Idempotent || m.class.Idempotency == policy.IdempotentByKey && !m.class.KeyPerZone
	if m.firstExecuted() != nil && !safe {
		return fmt.Errorf("rule 2: %s rejected, but it may have executed", a.ID)
	}
	return nil
}

// send checks the start of an attempt.
func (c *checker) send(a policy.Send) error {
	m, p := c.messages[a.ID], c.endpoints[a.Endpoint]
	switch {
	case m == nil || m.completed:
		return fmt.Errorf("rule 1: %s sent, but it is completed", a.ID)
	case p == nil || p.Destination != m.Destination:
		return fmt.Errorf("%s sent to %s, which is not its destination's", a.ID, a.Endpoint)
	case p.closed:
		return fmt.Errorf("rule 3: %s sent to %s, which drains or was removed", a.ID, a.Endpoint)
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
			return fmt.Errorf("rule 2: %s sent again, which is not idempotent", a.ID)
		case m.class.Idempotency == policy.IdempotentByKey && c.now > t.sent+m.class.KeyTTL:
			return fmt.Errorf("rule 2: %s sent after its key expired", a.ID)
		case m.class.Idempotency == policy.IdempotentByKey && m.class.KeyPerZone && c.endpoints[t.endpoint].Zone != p.Zone:
			return fmt.Errorf("rule 2: %s sent with its key to another zone", a.ID)
		}
	}
	if err := c.inTurn(m); err != nil {
		return err
	}
	m.attempts = append(m.attempts, attemptHistory{endpoint: a.Endpoint, sent: c.now, open: true, timeout: a.Timeout})
	return c.outage(p)
}

// inTurn checks the order of messages with one order key.
func (c *checker) inTurn(m *messageHistory) error {
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

// outage checks the calls to an endpoint that only fails against this relay's part of what a cold
// destination bears, with room for one call per endpoint, one that another endpoint's recovery
// brings forward and two by chance.
func (c *checker) outage(p *endpointHistory) error {
	const certain = 5 // consecutive failures that no chance explains
	if c.failures[p.ID] < certain {
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
		return fmt.Errorf("rule 4: %d sends to %s within %v, %.1f allowed, %d endpoints %v %+v",
			len(list), p.ID, c.settings.OverloadWindow, budget, endpoints, list, c.settings)
	}
	return nil
}
