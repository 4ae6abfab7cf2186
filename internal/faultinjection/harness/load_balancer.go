package harness

import (
	"math"
	"sync"
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

// balancerDrainTime is how long the load balancer still sends messages to a relay that shuts down.
const balancerDrainTime = 300 * time.Millisecond

// noRelay is the choice when no relay is up.
const noRelay = -1

// loadBalancer spreads clients' messages over the relays that it takes to be up.
type loadBalancer struct {
	h  *harness
	mu sync.Mutex // guards the fields below
	up []bool     // by relay
	// generation counts how often each relay became ready: what was noticed of an earlier generation no longer holds.
	generation []int
}

func newLoadBalancer(h *harness) *loadBalancer {
	return &loadBalancer{h: h, up: make([]bool, h.scenario.Relays), generation: make([]int, h.scenario.Relays)}
}

// relayReady has a relay used from now on.
func (b *loadBalancer) relayReady(relay int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up[relay] = true
	b.generation[relay]++
}

// relayLeaving has a relay not used any more after a delay, unless it becomes ready again before.
func (b *loadBalancer) relayLeaving(relay int, delay time.Duration) {
	b.mu.Lock()
	leaving := b.generation[relay]
	b.mu.Unlock()
	b.h.background.Go(func() {
		if !wait.For(b.h.ctx, delay) {
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.generation[relay] == leaving {
			b.up[relay] = false
		}
	})
}

// pick returns the relay for a message's n-th submission, or noRelay.
func (b *loadBalancer) pick(m *scenario.Message, n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []int
	for relay, up := range b.up {
		if up {
			candidates = append(candidates, relay)
		}
	}
	if len(candidates) == 0 {
		return noRelay
	}
	_, fraction := math.Modf(m.RelayDraw + float64(n)*math.Phi) // spreads a message's submissions evenly
	return candidates[int(fraction*float64(len(candidates)))]
}
