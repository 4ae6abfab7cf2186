package relay

import (
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// updateEndpoints takes in a change of the list.
func (l *loop) updateEndpoints(m discovery.EndpointList) {
	named := map[string]bool{}
	var recalled []policy.Event
	for _, h := range m.Endpoints {
		named[h.Host] = true
		old, had := l.endpoints[h.Host]
		if had && (old.Dial != h.Dial || h.Health == discovery.Deleted) {
			l.pool.Evict(upstream.Target{Endpoint: h.Host, Addr: old.Dial})
		}
		if h.Health == discovery.Deleted {
			l.removeEndpoint(h.Host)
			continue
		}
		l.endpoints[h.Host] = h
		l.destinations[h.Block] = true
		if health, ok := l.journal.Health()[h.Host]; ok && !had {
			// An earlier process saw it go out; the list that came with the configuration may lack it.
			recalled = append(recalled, policy.HealthRecovered{Endpoint: h.Host, Unhealthy: health.Unhealthy, At: time.Duration(health.At)})
		}
	}
	if m.Full {
		for id, h := range l.endpoints {
			if !named[id] {
				l.pool.Evict(upstream.Target{Endpoint: id, Addr: h.Dial})
				l.removeEndpoint(id)
			}
		}
	}
	l.events = append(append(l.events, m.Event(&l.cfg.Settings)), recalled...)
}

func (l *loop) removeEndpoint(host string) {
	delete(l.endpoints, host)
	l.journal.DeleteHealth(host)
}
