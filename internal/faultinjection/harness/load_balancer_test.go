package harness

import (
	"net"
	"testing"
	"time"
)

// A relay that becomes ready again before the load balancer noticed that it had left stays in use.
func TestLoadBalancer_IgnoresWhatItNoticedOfAnEarlierGeneration(t *testing.T) {
	h := newHarness(t.Context(), loadScenario(t, 50, 5, 2, 1, 4, 4, 1), Options{Seed: 1}, t.TempDir())
	b, m := newLoadBalancer(h), h.scenario.Messages(h.random)[0]
	if relay, _ := b.pick(m, 0); relay != noRelay {
		t.Errorf("relay %d is picked although none is ready", relay)
	}
	b.relayReady(0)
	b.relayLeaving(0, 10*time.Millisecond)
	b.relayReady(0)
	h.background.Wait()
	if relay, _ := b.pick(m, 0); relay != 0 {
		t.Errorf("relay %d is picked, not the one that is ready again", relay)
	}
	b.relayLeaving(0, time.Millisecond)
	h.background.Wait()
	if relay, _ := b.pick(m, 0); relay != noRelay {
		t.Errorf("relay %d is picked after it left", relay)
	}
}

// A relay that is shutting down is used on open connections, while there is one, but gets no new connections.
func TestLoadBalancer_UsesOpenConnsOfDrainingRelay(t *testing.T) {
	h := newHarness(t.Context(), loadScenario(t, 50, 5, 2, 1, 4, 4, 1), Options{Seed: 1}, t.TempDir())
	m := h.scenario.Messages(h.random)[0]
	h.relays = []*relay{{listen: "first"}, {listen: "second"}}
	h.clients = newClientPool(h, nil)
	b := newLoadBalancer(h)
	b.relayReady(0)
	b.relayDraining(0, time.Millisecond)
	h.background.Wait()
	if relay, _ := b.pick(m, 0); relay != noRelay {
		t.Errorf("relay %d is picked although no connection to it is open", relay)
	}
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	h.clients.putIdle("first", &clientConn{Conn: client})
	if relay, openConnOnly := b.pick(m, 0); relay != 0 || !openConnOnly {
		t.Errorf("relay %d is picked, on an open connection only: %v; want relay 0, true", relay, openConnOnly)
	}
	b.relayLeaving(0, time.Millisecond)
	h.background.Wait()
	if relay, _ := b.pick(m, 0); relay != noRelay {
		t.Errorf("relay %d is picked after it left", relay)
	}
}
