package policy

import (
	"slices"
)

// applyEndpoints takes in a change of the list.
func (d *Dispatcher) applyEndpoints(e EndpointsChanged) {
	named := map[string]bool{}
	for _, entry := range e.Endpoints {
		named[entry.ID] = true
		d.applyEndpoint(entry)
	}
	if e.Full {
		for _, q := range slices.Clone(d.queues) {
			for _, ep := range append([]*endpoint(nil), q.endpoints...) {
				if !named[ep.ID] {
					d.removeEndpoint(ep)
				}
			}
		}
	}
	for _, q := range slices.Clone(d.activeQueues) {
		if len(q.queued) > 0 && !q.acceptsWork() {
			d.rerouteQueued(q)
		}
	}
}

// applyEndpoint takes in one entry of the list.
func (d *Dispatcher) applyEndpoint(e Endpoint) {
	ep := d.endpoints[e.ID]
	if e.Removed {
		if ep != nil {
			d.removeEndpoint(ep)
		}
		return
	}
	if ep == nil {
		ep = &endpoint{classFailures: make([]float64, len(d.settings.Classes))}
		if !d.keepsIdleConns() {
			ep.tieBreaker = d.random.Float64()
		}
		d.endpoints[e.ID] = ep
		dest := d.destination(e.Destination)
		kind := DestinationKind{MaxBatch: 1}
		if e.Kind >= 0 && e.Kind < len(d.settings.Kinds) {
			kind = d.settings.Kinds[e.Kind]
		}
		ep.queue = dest.queues[0]
		if kind.SeparateRoutes && (len(ep.queue.endpoints) > 0 || len(dest.queues) > 1) {
			ep.queue = d.addQueue(dest, 1, true)
		}
		ep.queue.maxBatch, ep.queue.separateRoute, ep.queue.kind = max(1, kind.MaxBatch), kind.SeparateRoutes, e.Kind
		ep.queue.endpoints = append(ep.queue.endpoints, ep)
		defer d.joins(ep)
	}
	if e.Draining && !ep.Draining {
		d.cancelBeforeSend(ep.inFlight, nil)
	}
	ep.Endpoint = e
	d.setListedRate(ep.queue, e.Weight)
}

// removeEndpoint forgets an endpoint that left the list; calls out there still end.
func (d *Dispatcher) removeEndpoint(ep *endpoint) {
	d.cancelBeforeSend(ep.inFlight, nil)
	ep.Removed = true
	if ep.sick {
		d.unhealthyCount--
	}
	delete(d.endpoints, ep.ID)
	ep.queue.endpoints = remove(ep.queue.endpoints, ep)
	d.removeIfUnused(ep.queue)
}

// joins takes in a new endpoint: at a destination that is out it is as cold as the others.
func (d *Dispatcher) joins(ep *endpoint) {
	if ep.queue.unhealthy {
		d.markUnhealthy(ep)
	}
}
