package policy

import "slices"

// applyEndpoints applies a change of the endpoint list.
func (d *Dispatcher) applyEndpoints(e EndpointsChanged) {
	listed := map[string]bool{}
	for _, entry := range e.Endpoints {
		listed[entry.ID] = true
		d.applyEndpoint(entry)
	}
	if e.Full {
		d.removeUnlisted(listed)
	}
	for _, q := range slices.Clone(d.activeQueues) {
		if len(q.queued) > 0 && !q.acceptsWork() {
			d.rerouteQueued(q)
		}
	}
}

// removeUnlisted removes the endpoints that a full list does not contain.
func (d *Dispatcher) removeUnlisted(listed map[string]bool) {
	for _, q := range slices.Clone(d.queues) {
		for _, ep := range slices.Clone(q.endpoints) {
			if !listed[ep.ID] {
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
	if ep != nil && ep.Destination != entry.Destination {
		d.removeEndpoint(ep) // what is known of it belongs to the destination that it served before
		ep = nil
	}
	isNew := ep == nil
	if isNew {
		ep = d.addEndpoint(entry)
	}
	if entry.Draining && !ep.Draining || entry.Replaced {
		d.cancelBeforeSend(ep.inFlight, nil) // a connection that is being established may reach another process
	}
	ep.Endpoint = entry
	d.setListedRate(ep.queue, entry.Weight)
	if isNew && ep.queue.unhealthy {
		d.markUnhealthy(ep) // during an outage of the destination, a new endpoint is as cold as the others
	}
}

// addEndpoint adds an endpoint to the queue of its destination or, for a separate route, to a queue
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

// removeEndpoint removes an endpoint that is no longer listed. Calls that have sent a byte
// stay in flight, and their outcomes are still applied.
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
