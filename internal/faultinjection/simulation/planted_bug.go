package simulation

import (
	"fmt"
	"time"

	"frostlink/internal/faultinjection/destination"
	"frostlink/policy"
)

const (
	// uncoordinatedProbeInterval is the time between two probes of a relay with PlantedBug.UncoordinatedProbes.
	uncoordinatedProbeInterval = 250 * time.Millisecond
	// The delays between the polls of PlantedBug.NoJitter double, from firstPollDelay up to maxPollDelay.
	firstPollDelay = 250 * time.Millisecond
	maxPollDelay   = 2 * time.Second
	pollDoublings  = 4
)

// fixedPollDelay returns the delay of PlantedBug.NoJitter before a retry.
func fixedPollDelay(retry int) time.Duration {
	return min(maxPollDelay, firstPollDelay<<min(retry, pollDoublings)-firstPollDelay)
}

// minimumQuotaInstances implements PlantedBug.MinimumQuota: it returns a number of relays so low that the even share of the smallest
// limit is at least one attempt per second.
func (f *fleet) minimumQuotaInstances(instances int) int {
	smallest := f.destinations[0].limit
	for _, d := range f.destinations {
		smallest = min(smallest, d.limit)
	}
	return max(1, min(instances, int(smallest)))
}

// forgetOutages implements PlantedBug.TrustsGossip: the relay considers all destinations healthy from now on.
func (r *relay) forgetOutages() {
	snapshot := r.dispatcher.Snapshot()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		e.Unhealthy, e.SlowStart, e.ConsecutiveFailures = false, false, 0
	}
	for i := range snapshot.Queues {
		q := &snapshot.Queues[i]
		q.Unhealthy, q.Rejections, q.BackoffUntil = false, 0, 0
	}
	r.enqueue(policy.SnapshotRestored{Snapshot: snapshot})
}

// probeUncoordinated implements PlantedBug.UncoordinatedProbes: the relay probes each destination whose first endpoint it considers
// unhealthy, and schedules its next probe.
func (r *relay) probeUncoordinated() {
	f := r.fleet
	for _, d := range f.destinations {
		first := d.endpoints[0]
		if health, ok := r.health[first.id]; ok && health.Unhealthy {
			f.currentSecond(d).Attempts++
			f.carryOut(d, d.Arrive(f.now, first.index, &destination.Attempt{ID: fmt.Sprint("probe", r.number), Probe: true}))
			r.scheduleBatch(f.now + uncoordinatedProbeInterval)
		}
	}
}
