package policy

import (
	"slices"
)

// listed takes in a change of the list.
func (d *Dispatcher) listed(e EndpointsChanged) {
	named := map[string]bool{}
	for _, entry := range e.Endpoints {
		named[entry.ID] = true
		d.entry(entry)
	}
	if e.Full {
		for _, q := range slices.Clone(d.queues) {
			for _, ep := range append([]*endpoint(nil), q.eps...) {
				if !named[ep.ID] {
					d.drop(ep)
				}
			}
		}
	}
	for _, q := range slices.Clone(d.active) {
		if len(q.held) > 0 && !q.usable() {
			d.reroute(q)
		}
	}
}

// entry takes in one entry of the list.
func (d *Dispatcher) entry(e Endpoint) {
	ep := d.endpoints[e.ID]
	if e.Removed {
		if ep != nil {
			d.drop(ep)
		}
		return
	}
	if ep == nil {
		ep = &endpoint{strikes: make([]float64, len(d.s.Classes))}
		if !d.keeps() {
			ep.lot = d.chance.Float64()
		}
		d.endpoints[e.ID] = ep
		dest := d.dest(e.Destination)
		kind := DestinationKind{MaxBatch: 1}
		if e.Kind >= 0 && e.Kind < len(d.s.Kinds) {
			kind = d.s.Kinds[e.Kind]
		}
		ep.q = dest.queues[0]
		if kind.SeparateRoutes && (len(ep.q.eps) > 0 || len(dest.queues) > 1) {
			ep.q = d.addQueue(dest, 1, true)
		}
		ep.q.bundle, ep.q.apart, ep.q.kind = max(1, kind.MaxBatch), kind.SeparateRoutes, e.Kind
		ep.q.eps = append(ep.q.eps, ep)
		defer d.joins(ep)
	}
	if e.Draining && !ep.Draining {
		d.unsend(ep.out, nil)
	}
	ep.Endpoint = e
	d.weigh(ep.q, e.Weight)
}

// drop forgets an endpoint that left the list; calls out there still end.
func (d *Dispatcher) drop(ep *endpoint) {
	d.unsend(ep.out, nil)
	ep.Removed = true
	if ep.sick {
		d.down--
	}
	delete(d.endpoints, ep.ID)
	ep.q.eps = remove(ep.q.eps, ep)
	d.forget(ep.q)
}

// joins takes in a new endpoint: at a destination that is out it is as cold as the others.
func (d *Dispatcher) joins(ep *endpoint) {
	if ep.q.ill {
		d.sicken(ep)
	}
}
