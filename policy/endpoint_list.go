package policy

import "slices"

// applyEndpoints applies a change of the endpoint list.
func (d *Dispatcher) applyEndpoints(e EndpointsChanged) {
	named := map[string]bool{}
	for _, entry := range e.Endpoints {
		named[entry.ID] = true
		d.applyEndpoint(entry)
	}
	if e.Full {
		d.removeUnnamed(named)
	}
	for _, q := range slices.Clone(d.activeQueues) {
		if len(q.queued) > 0 && !q.acceptsWork() {
			d.rerouteQueued(q)
		}
	}
}

// removeUnnamed removes the endpoints that a full list does not name.
func (d *Dispatcher) removeUnnamed(named map[string]bool) {
	for _, q := range slices.Clone(d.queues) {
		for _, ep := range slices.Clone(q.endpoints) {
			if !named[ep.ID] {
				d.removeEndpoint(ep)
			}
		}
	}
}

// applyEndpoint applies one entry of the endpoint list.
func (d *Dispatcher) applyEndpoint(entry Endpoint) {
	ep := d.endpoints[entry.ID]
	if entry.Removed {
		if ep != nil {
			d.removeEndpoint(ep)
		}
		return
	}
	isNew := ep == nil
	if isNew {
		ep = d.addEndpoint(entry)
	}
	if entry.Draining && !ep.Draining {
		d.cancelBeforeSend(ep.inFlight, nil)
	}
	ep.Endpoint = entry
	d.setListedRate(ep.queue, entry.Weight)
	if isNew && ep.queue.unhealthy {
		d.markUnhealthy(ep) // at a destination that is out, a new endpoint is as cold as the others
	}
}

// addEndpoint adds an endpoint to the queue of its destination, or as a separate route with a queue
// of its own.
func (d *Dispatcher) addEndpoint(entry Endpoint) *endpoint {
	ep := &endpoint{classFailures: make([]float64, len(d.settings.Classes))}
	if !d.keepsIdleConns() {
		ep.tieBreaker = d.random.Float64()
	}
	d.endpoints[entry.ID] = ep
	kind := DestinationKind{MaxBatch: 1}
	if entry.Kind >= 0 && entry.Kind < len(d.settings.Kinds) {
		kind = d.settings.Kinds[entry.Kind]
	}
	destination := d.destination(entry.Destination)
	q := destination.queues[0]
	if kind.SeparateRoutes && (len(q.endpoints) > 0 || len(destination.queues) > 1) {
		q = d.addQueue(destination)
	}
	q.kind, q.maxBatch, q.separateRoute = entry.Kind, max(1, kind.MaxBatch), kind.SeparateRoutes
	q.endpoints = append(q.endpoints, ep)
	ep.queue = q
	return ep
}

// removeEndpoint removes an endpoint that left the list; calls in flight there still end.
func (d *Dispatcher) removeEndpoint(ep *endpoint) {
	d.cancelBeforeSend(ep.inFlight, nil)
	ep.Removed = true
	if ep.health.isUnhealthy() {
		d.unhealthyCount--
	}
	delete(d.endpoints, ep.ID)
	ep.queue.endpoints = remove(ep.queue.endpoints, ep)
	d.removeIfUnused(ep.queue)
}
