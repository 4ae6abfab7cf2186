package relay

import (
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// handleEndpointsUpdated applies an endpoint list from discovery, or a change of one, and notes it in the journal.
func (l *loop) handleEndpointsUpdated(e endpointsUpdated) {
	l.traceEvent(trace.Event{Kind: trace.EndpointsReceived, Full: e.list.Full, Count: len(e.list.Endpoints)})
	e.list = l.boundEndpoints(e.list)
	l.updateEndpoints(e.list)
	if e.list.Full {
		for id := range l.journal.Health() {
			if _, listed := l.endpoints[id]; !listed {
				l.journal.DeleteHealth(id)
			}
		}
	}
	l.journal.UpdateEndpoints(e.list, e.discovery)
}

// updateEndpoints applies an endpoint list, or a change of one.
func (l *loop) updateEndpoints(list discovery.EndpointList) {
	listed := map[string]bool{}
	var recovered []policy.Event
	changed := list.Event(&l.cfg.Settings)
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		listed[endpoint.ID] = true
		if old, known := l.endpoints[endpoint.ID]; known {
			changed.Endpoints[i].Replaced = old.IsReplacedBy(endpoint)
		}
		recovered = append(recovered, l.updateEndpoint(*endpoint)...)
	}
	if list.Full {
		l.removeUnlisted(listed)
	}
	l.events = append(append(l.events, changed), recovered...)
}

// updateEndpoint applies one endpoint of a list. For an endpoint that is new to this process it returns the health that an
// earlier process recorded. An endpoint may be new long after the start, since the list in the configuration may lack it.
func (l *loop) updateEndpoint(endpoint discovery.Endpoint) (recovered []policy.Event) {
	id := endpoint.ID
	old, known := l.endpoints[id]
	if known && (old.IsReplacedBy(&endpoint) || endpoint.Health == discovery.Deleted) {
		l.pool.Evict(upstream.Target{Endpoint: id, Addr: old.Address})
	}
	if endpoint.Health == discovery.Deleted {
		l.removeEndpoint(id)
		return nil
	}
	l.endpoints[id] = endpoint
	l.destinations[endpoint.Destination] = true
	if health, ok := l.journal.Health()[id]; ok && !known {
		return []policy.Event{policy.HealthRecovered{Endpoint: id, Unhealthy: health.Unhealthy, At: time.Duration(health.At)}}
	}
	return nil
}

// removeUnlisted removes all endpoints that a full list does not contain.
func (l *loop) removeUnlisted(listed map[string]bool) {
	for id, endpoint := range l.endpoints {
		if !listed[id] {
			l.pool.Evict(upstream.Target{Endpoint: id, Addr: endpoint.Address})
			l.removeEndpoint(id)
		}
	}
}

func (l *loop) removeEndpoint(id string) {
	delete(l.endpoints, id)
	l.journal.DeleteHealth(id)
}
