package harness

import (
	"math"
	"slices"
	"sync"
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

// Bounds of the time for which the load balancer still opens new connections to a relay that is shutting down.
const (
	minDrainDelay = 200 * time.Millisecond
	maxDrainDelay = 400 * time.Millisecond
)

// noRelay is returned in place of a relay's number when no relay can be used.
const noRelay = -1

// openConnPreference is how many times more likely a relay that is shutting down is picked than another one while a connection
// to it is open: clients keep using the connections that they have.
const openConnPreference = 8

// relayAccess is how clients may use a relay.
type relayAccess int

const (
	relayDown          relayAccess = iota // not at all
	relayOpenConnsOnly                    // the relay is shutting down: only on connections that are already open
	relayUp
)

// loadBalancer distributes clients' messages over the relays that it considers up.
type loadBalancer struct {
	h      *harness
	mu     sync.Mutex    // guards the fields below
	access []relayAccess // by relay
	// generation counts how often each relay became ready. A delayed change of access is dropped if the relay has become
	// ready again since the change was planned.
	generation []int
}

func newLoadBalancer(h *harness) *loadBalancer {
	return &loadBalancer{h: h, access: make([]relayAccess, h.scenario.Relays), generation: make([]int, h.scenario.Relays)}
}

// relayReady makes the load balancer use a relay from now on.
func (b *loadBalancer) relayReady(relay int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.access[relay] = relayUp
	b.generation[relay]++
}

// relayLeaving makes the load balancer stop using a relay after a delay, unless the relay becomes ready again in the meantime.
func (b *loadBalancer) relayLeaving(relay int, delay time.Duration) {
	b.changeAfter(relay, delay, relayDown)
}

// relayDraining makes the load balancer stop opening new connections to a relay that is shutting down. The change takes effect
// after a delay, unless the relay becomes ready again in the meantime.
func (b *loadBalancer) relayDraining(relay int, delay time.Duration) {
	b.changeAfter(relay, delay, relayOpenConnsOnly)
}

// changeAfter restricts the access to a relay after a delay, unless the relay becomes ready again in the meantime.
func (b *loadBalancer) changeAfter(relay int, delay time.Duration, to relayAccess) {
	b.mu.Lock()
	generation := b.generation[relay]
	b.mu.Unlock()
	b.h.background.Go(func() {
		if !wait.For(b.h.ctx, delay) {
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.generation[relay] == generation {
			b.access[relay] = min(b.access[relay], to)
		}
	})
}

// pick returns the relay for a message's n-th submission, or noRelay, and whether only an open connection to it may be used.
func (b *loadBalancer) pick(m *scenario.Message, n int) (relay int, openConnOnly bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []int
	for relay, access := range b.access {
		switch {
		case access == relayUp:
			candidates = append(candidates, relay)
		case access == relayOpenConnsOnly && b.h.clients.hasIdle(b.h.relays[relay].listen):
			candidates = append(candidates, slices.Repeat([]int{relay}, openConnPreference)...)
		}
	}
	if len(candidates) == 0 {
		return noRelay, false
	}
	_, fraction := math.Modf(m.RelayDraw + float64(n)*math.Phi) // spreads a message's submissions evenly
	relay = candidates[int(fraction*float64(len(candidates)))]
	return relay, b.access[relay] == relayOpenConnsOnly
}
