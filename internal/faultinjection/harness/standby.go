package harness

import (
	"net/http"
	"time"

	"frostlink/internal/wait"
)

const (
	// standbyTimeout is the time within which all clients have to be disconnected from a relay that was put on standby.
	standbyTimeout = 4 * time.Second
	// standbyDrainTime is how long the load balancer still sends messages to a relay on standby.
	standbyDrainTime = 300 * time.Millisecond
	// activeTimeout is the time within which a relay that was made active again has to pass health checks.
	activeTimeout = 2 * time.Second
)

// standby puts the relay on standby for a while, as an operator does. It checks that the relay fails health checks and disconnects
// idle clients on standby, and passes health checks afterwards.
func (r *relay) standby(d time.Duration) {
	p := r.serving()
	if p == nil {
		r.recordFailure("standby: it does not run")
		return
	}
	if _, err := p.adminRequest(http.MethodPost, standbyPath); err != nil {
		r.recordFailure("%v", err)
		return
	}
	if r.isHealthy() {
		r.recordFailure("its health is well, though it was told to send clients away")
	}
	r.h.balancer.relayLeaving(r.number, standbyDrainTime)
	wait.For(r.h.ctx, min(d, standbyTimeout))
	if d >= standbyTimeout {
		if n := r.h.clients.openConns(r.listen); n > 0 {
			r.recordFailure("%d idle connections of clients are open %v after standby", n, standbyTimeout)
		}
		wait.For(r.h.ctx, d-standbyTimeout)
	}
	r.activate()
}

// activate makes the relay active again.
func (r *relay) activate() {
	p := r.serving()
	if p == nil { // the process has ended meanwhile
		return
	}
	if _, err := p.adminRequest(http.MethodPost, activePath); err != nil {
		r.recordFailure("%v", err)
	}
	if !pollUntil(r.h.ctx, activeTimeout, r.isHealthy) {
		r.recordFailure("its health is not well %v after it was told to take clients again", activeTimeout)
		return
	}
	r.h.balancer.relayReady(r.number)
}
