package relay

import (
	"log/slog"
	"slices"

	"frostlink/internal/discovery"
	"frostlink/internal/logkey"
)

// endpointLimit decides which endpoints of a list there is memory for. A destination is remembered for good, so the number of
// destinations is limited as well.
type endpointLimit struct {
	loop            *loop
	full            bool // the list replaces all endpoints
	endpoints       int  // number of endpoints, with those of the list that were admitted
	newDestinations map[int]bool
}

// boundEndpoints returns a list without the new endpoints for which there is no memory.
func (l *loop) boundEndpoints(list discovery.EndpointList) discovery.EndpointList {
	limit := endpointLimit{loop: l, full: list.Full, newDestinations: map[int]bool{}}
	if !list.Full {
		limit.endpoints = len(l.endpoints)
	}
	if max(limit.endpoints, len(l.destinations))+len(list.Endpoints) <= l.cfg.maxEndpoints() {
		return list
	}
	kept := slices.DeleteFunc(slices.Clone(list.Endpoints), func(e discovery.Endpoint) bool { return !limit.admits(&e) })
	l.countIgnored(len(list.Endpoints) - len(kept))
	list.Endpoints = kept
	return list
}

// admits reports whether there is memory for an endpoint, and counts it.
func (b *endpointLimit) admits(e *discovery.Endpoint) bool {
	if e.Health == discovery.Deleted {
		return true // it is not held
	}
	limit := b.loop.cfg.maxEndpoints()
	_, known := b.loop.endpoints[e.ID]
	isNew := b.full || !known
	isNewDestination := !b.loop.destinations[e.Destination] && !b.newDestinations[e.Destination]
	if isNew && b.endpoints >= limit || isNewDestination && len(b.loop.destinations)+len(b.newDestinations) >= limit {
		return false
	}
	if isNew {
		b.endpoints++
	}
	if isNewDestination {
		b.newDestinations[e.Destination] = true
	}
	return true
}

// countIgnored counts endpoints that were not admitted, and logs the first ones.
func (l *loop) countIgnored(count int) {
	if count > 0 && l.endpointsIgnored.Add(int64(count)) == int64(count) {
		slog.Warn("endpoints ignored: the relay has no memory for more", logkey.Count, count)
	}
}
