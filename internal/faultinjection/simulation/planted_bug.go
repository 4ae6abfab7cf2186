package simulation

import (
	"fmt"
	"time"

	"frostlink/internal/faultinjection/destination"
	"frostlink/policy"
)

const (
	// aloneProbeInterval is between the probes of PlantedBug.ProbesAlone.
	aloneProbeInterval = 250 * time.Millisecond
	// The delays of PlantedBug.NoJitter double from the first on.
	firstPollDelay = 250 * time.Millisecond
	maxPollDelay   = 2 * time.Second
	pollDoublings  = 4
)

// fixedPollDelay is the delay of PlantedBug.NoJitter before a retry.
func fixedPollDelay(retry int) time.Duration {
	return min(maxPollDelay, firstPollDelay<<min(retry, pollDoublings)-firstPollDelay)
}

// minimumQuotaInstances returns the number of relays for which the even share of the smallest limit is one attempt per second,
// if there are more: PlantedBug.MinimumQuota.
func (f *fleet) minimumQuotaInstances(instances int) int {
	smallest := f.destinations[0].limit
	for _, d := range f.destinations {
		smallest = min(smallest, d.limit)
	}
	return max(1, min(instances, int(smallest)))
}

// forgetOutages has the relay take all destinations for healthy: PlantedBug.TrustsGossip.
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

// probeAlone has the relay probe each destination that is down: PlantedBug.ProbesAlone.
func (r *relay) probeAlone() {
	f := r.fleet
	for _, d := range f.destinations {
		first := d.endpoints[0]
		if health, ok := r.health[first.id]; ok && health.Unhealthy {
			f.currentSecond(d).Attempts++
			f.carryOut(d, d.Arrive(f.now, first.index, &destination.Attempt{ID: fmt.Sprint("probe", r.number), Probe: true}))
			r.scheduleBatch(f.now + aloneProbeInterval)
		}
	}
}
