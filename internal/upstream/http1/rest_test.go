package http1

import (
	"time"

	"frostlink/policy"
)

// restIdleConns makes the pool treat all idle connections as if they had rested long enough to carry another request, whatever has
// been learned of their endpoints.
func (p *Pool) restIdleConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, set := range p.idle {
		set.responder = policy.Responder{}
		for _, c := range set.conns {
			if !c.respondedAt.IsZero() {
				c.respondedAt = c.respondedAt.Add(-time.Minute)
			}
		}
	}
}

// learnLatency makes the pool know that the endpoints of its idle connections take this long for a response.
func (p *Pool) learnLatency(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, set := range p.idle {
		set.responder.Accepted(policy.Rejected, latency, true)
	}
}
