package policy_test

import (
	"fmt"
	"time"

	"frostlink/policy"
)

const answerSlack = 20 * time.Millisecond

// checker follows events and actions and reports the first action that breaks one of the six rules. It
// is written from the wording of the rules and shares no code with the module.
type checker struct {
	s     policy.Settings
	now   time.Duration
	msgs  map[string]*seen
	order []*seen
	eps   map[string]*place
	waits map[string]time.Duration // by place.scope
	told  map[string]int           // failures in a row, by endpoint
	good  map[string]time.Duration // last success, by endpoint
	bad   map[string]time.Duration // when the last call that failed was sent, by endpoint
	sends map[string][]time.Duration
}

func (c *checker) list(e policy.EndpointsChanged) {
	named := map[string]bool{}
	for _, x := range e.Endpoints {
		named[x.ID] = true
		p := c.eps[x.ID]
		if p == nil {
			p = &place{scope: fmt.Sprint("d", x.Destination)}
			if x.Kind < len(c.s.Kinds) && c.s.Kinds[x.Kind].SeparateRoutes {
				p.scope = x.ID
			}
			c.eps[x.ID] = p
		}
		p.Endpoint, p.closed = x, x.Draining || x.Removed
	}
	for id, p := range c.eps {
		if e.Full && !named[id] {
			p.closed = true
		}
	}
}

func (c *checker) ended(e policy.AttemptEnded) {
	m := c.msgs[e.ID]
	if m == nil || e.Attempt >= len(m.tries) || !m.tries[e.Attempt].open {
		return
	}
	t := &m.tries[e.Attempt]
	t.open = false
	t.unrun = e.Outcome == policy.Rejected || e.Outcome == policy.ConnectError || e.Outcome == policy.NotSent
	if e.Outcome == policy.TimedOut || e.Outcome == policy.ConnectionReset || e.Outcome == policy.Canceled {
		m.rest = c.now + c.s.OrderKeyCooldown
	}
	switch {
	case e.Outcome == policy.Succeeded:
		m.over = true
		c.told[t.ep], c.good[t.ep] = 0, c.now
	case t.sent <= max(c.good[t.ep], c.bad[t.ep]): // tells nothing new: an old call, or a bundle's next
	case e.Outcome == policy.Failed || e.Outcome == policy.ConnectionReset || e.Outcome == policy.ConnectError:
		c.told[t.ep]++
		c.bad[t.ep] = t.sent
	}
	if e.RetryAfter > 0 {
		scope := c.eps[t.ep].scope
		c.waits[scope] = max(c.waits[scope], c.now+e.RetryAfter)
	}
	m.over = m.over || e.Final
}

func (c *checker) events(now time.Duration, events []policy.Event) {
	c.now = now
	for _, e := range events {
		switch e := e.(type) {
		case policy.Arrived:
			m := &seen{Arrived: e, class: c.s.Classes[e.Class], expires: now + e.TimeLeft, left: -1}
			c.msgs[e.ID] = m
			c.order = append(c.order, m)
		case policy.AttemptEnded:
			c.ended(e)
		case policy.Cancelled:
			if m := c.msgs[e.ID]; m != nil && !m.over {
				m.over, m.left = true, now
			}
		case policy.EndpointsChanged:
			c.list(e)
		}
	}
}

func (c *checker) actions(actions []policy.Action) error {
	for _, a := range actions {
		var err error
		switch a := a.(type) {
		case policy.Send:
			err = c.send(a)
		case policy.Reject:
			err = c.refuse(a)
		case policy.Fail:
			if m := c.msgs[a.ID]; m == nil || m.over && m.left != c.now {
				err = fmt.Errorf("rule 1: %s failed, but it is over", a.ID)
			} else {
				m.over = true
			}
		}
		if err != nil {
			return fmt.Errorf("at %v: %w", c.now, err)
		}
	}
	for _, m := range c.order {
		if !m.over && c.now > m.expires+answerSlack {
			return fmt.Errorf("at %v: rule 1: %s has no answer by %v", c.now, m.ID, m.expires)
		}
	}
	return nil
}

func (c *checker) refuse(a policy.Reject) error {
	m := c.msgs[a.ID]
	if m == nil || m.over && m.left != c.now {
		return fmt.Errorf("rule 1: %s refused, but it is over", a.ID)
	}
	m.over = true
	if m.mayHaveRun() != nil && (m.class.Idempotency == policy.NotIdempotent || m.class.Idempotency == policy.IdempotentByKey && m.class.KeyPerZone) {
		return fmt.Errorf("rule 2: %s refused, but it may have run", a.ID)
	}
	return nil
}

func (c *checker) send(a policy.Send) error {
	m, p := c.msgs[a.ID], c.eps[a.Endpoint]
	switch {
	case m == nil || m.over:
		return fmt.Errorf("rule 1: %s sent, but it is over", a.ID)
	case p == nil || p.Destination != m.Destination:
		return fmt.Errorf("%s sent to %s, which is not its destination's", a.ID, a.Endpoint)
	case p.closed:
		return fmt.Errorf("rule 3: %s sent to %s, which drains or is gone", a.ID, a.Endpoint)
	case c.now < c.waits[p.scope]:
		return fmt.Errorf("rule 6: %s sent to %s within a wait", a.ID, a.Endpoint)
	}
	for _, t := range m.tries {
		if t.open && !c.s.Hedging {
			return fmt.Errorf("rule 2: %s has two attempts out", a.ID)
		}
	}
	if t := m.mayHaveRun(); t != nil {
		switch {
		case m.class.Idempotency == policy.NotIdempotent:
			return fmt.Errorf("rule 2: unsafe %s sent again", a.ID)
		case m.class.Idempotency == policy.IdempotentByKey && c.now > t.sent+m.class.KeyTTL:
			return fmt.Errorf("rule 2: keyed %s sent after its memory", a.ID)
		case m.class.Idempotency == policy.IdempotentByKey && m.class.KeyPerZone && c.eps[t.ep].Zone != p.Zone:
			return fmt.Errorf("rule 2: keyed %s sent to another zone", a.ID)
		}
	}
	if err := c.inTurn(m); err != nil {
		return err
	}
	m.tries = append(m.tries, try{ep: a.Endpoint, sent: c.now, open: true, timeout: a.Timeout})
	return c.outage(p)
}

func (c *checker) inTurn(m *seen) error {
	if !m.class.Ordered || m.OrderKey == "" {
		return nil
	}
	for _, o := range c.order {
		if o == m {
			return nil
		}
		if o.OrderKey != m.OrderKey || !o.class.Ordered {
			continue
		}
		open := !o.over || c.now < o.rest
		for _, t := range o.tries {
			open = open || t.open
		}
		if open {
			return fmt.Errorf("rule 5: %s sent before %s was done", m.ID, o.ID)
		}
	}
	return nil
}

// outage holds the sends to endpoints that only fail to this relay's part of what a cold destination can
// take, with room for one call an endpoint, one that a sibling's return brings forward and two of chance.
func (c *checker) outage(p *place) error {
	const sure = 5 // failures in a row that no chance explains
	if c.told[p.ID] < sure {
		return nil
	}
	list := c.sends[p.scope]
	if n := len(list); n > 0 && list[n-1] == c.now && c.s.Kinds[p.Kind].MaxBatch > 1 {
		return nil // the same call, by as many as one holds
	}
	list = append(list, c.now)
	for list[0] <= c.now-c.s.OverloadWindow {
		list = list[1:]
	}
	c.sends[p.scope] = list
	eps := 0
	for _, q := range c.eps {
		if q.scope == p.scope {
			eps++
		}
	}
	weight := p.Weight
	if c.s.Weights == policy.WeightsOff {
		weight = float64(c.s.Instances)
	}
	all := c.s.OverloadFactor * c.s.ColdCapacity * weight * c.s.OverloadWindow.Seconds()
	if budget := all/float64(c.s.Instances) + float64(eps+3); float64(len(list)) > budget {
		return fmt.Errorf("rule 4: %d sends to %s within %v, %.1f allowed, %d eps %v %+v", len(list), p.ID, c.s.OverloadWindow, budget, eps, list, c.s)
	}
	return nil
}

type seen struct {
	policy.Arrived
	class   policy.Class
	expires time.Duration
	tries   []try
	over    bool
	left    time.Duration // when it was withdrawn; an answer in the same batch is no fault
	rest    time.Duration
}

// mayHaveRun gives the first try that may have run.
func (m *seen) mayHaveRun() *try {
	for i := range m.tries {
		if !m.tries[i].unrun {
			return &m.tries[i]
		}
	}
	return nil
}

type try struct {
	ep      string
	sent    time.Duration
	open    bool
	unrun   bool
	timeout time.Duration
}

type place struct {
	policy.Endpoint
	closed bool
	scope  string // what waits and outages bind: the destination, or the route
	seen   time.Duration
}

func newChecker(s policy.Settings) *checker {
	return &checker{
		s: s, msgs: map[string]*seen{}, eps: map[string]*place{}, waits: map[string]time.Duration{},
		told: map[string]int{}, good: map[string]time.Duration{}, bad: map[string]time.Duration{},
		sends: map[string][]time.Duration{},
	}
}
