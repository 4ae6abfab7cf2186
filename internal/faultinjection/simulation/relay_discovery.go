package simulation

import (
	"time"

	"frostlink/policy"
)

// schedulePoll has the relay ask discovery for a watch, after the delay that spreads the polls of a fleet.
func (r *relay) schedulePoll() {
	incarnation := r.incarnation
	r.fleet.after(r.pollDelay, func() {
		if r.runs(incarnation) {
			r.fleet.discovery.poll(r)
		}
	})
}

// watchEnded takes in the end of a watch that stood for a time.
func (r *relay) watchEnded(stood time.Duration) {
	if r.pollDelay = r.watchSchedule.Retry(stood); r.fleet.Bug.NoJitter {
		r.pollRetries++
		r.pollDelay = fixedPollDelay(r.pollRetries)
	}
	r.enqueue(policy.WatchFailed{})
}

// receiveChanges takes in the list up to a change.
func (r *relay) receiveChanges(changes []endpointChange) {
	if len(changes) <= r.listVersion {
		return
	}
	list := r.fleet.discovery.list(changes[r.listVersion:], false)
	r.listVersion = len(changes)
	r.learn(list)
}

// learn takes in a list or a change of it.
func (r *relay) learn(list policy.EndpointsChanged) {
	for _, e := range list.Endpoints {
		r.listed[e.ID] = e
		if _, known := r.drainingAt[e.ID]; (e.Draining || e.Removed) && !known {
			r.drainingAt[e.ID] = r.fleet.now
		}
	}
	r.enqueue(list)
}
