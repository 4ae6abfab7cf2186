package simulation

import (
	"time"

	"frostlink/policy"
)

// schedulePoll schedules a request for a watch, after the delay that spreads the polls of a fleet over time.
func (r *relay) schedulePoll() {
	incarnation := r.incarnation
	r.fleet.after(r.pollDelay, func() {
		if r.runs(incarnation) {
			r.fleet.discovery.poll(r)
		}
	})
}

// watchEnded handles the end of a watch, or of a request for one, that lasted for a time.
func (r *relay) watchEnded(lasted time.Duration) {
	if r.pollDelay = r.watchSchedule.Retry(lasted); r.fleet.Bug.NoJitter {
		r.pollRetries++
		r.pollDelay = fixedPollDelay(r.pollRetries)
	}
	r.enqueue(policy.WatchFailed{})
}

// receiveChanges handles the changes of the endpoint list from its first version on. Changes that the relay already has are ignored.
func (r *relay) receiveChanges(changes []endpointChange) {
	if len(changes) <= r.listVersion {
		return
	}
	list := r.fleet.discovery.list(changes[r.listVersion:], false)
	r.listVersion = len(changes)
	r.updateEndpoints(list)
}

// updateEndpoints applies an endpoint list or changes of it, and passes them to the decision module.
func (r *relay) updateEndpoints(list policy.EndpointsChanged) {
	for _, e := range list.Endpoints {
		r.listed[e.ID] = e
		if _, known := r.drainingAt[e.ID]; (e.Draining || e.Removed) && !known {
			r.drainingAt[e.ID] = r.fleet.now
		}
	}
	r.enqueue(list)
}
