package policy

import (
	"math"
	"slices"
	"time"
)

// maxExpectedSeconds bounds an expected latency, so that it fits into a time.Duration.
const maxExpectedSeconds = 1e6

// selectRoute returns the queue for a message. Among separate routes it is the one with the least
// cost.
func (d *Dispatcher) selectRoute(m *message) *queue {
	queues := d.destination(m.Destination).queues
	best, least := queues[0], math.Inf(1)
	for _, q := range queues {
		d.fillUnknownLatency(q)
		if !q.separateRoute || !q.acceptsWork() {
			continue
		}
		if cost := d.routeCost(q, m); cost < least {
			best, least = q, cost
		}
	}
	return best
}

// routeCost returns the cost that a message adds on a route, in the manner of the paper's rule
// (25): the value lost by lateness, the work left (priced so that a whole deadline of it costs one
// message) and the fee of the route's zone.
func (d *Dispatcher) routeCost(q *queue, m *message) float64 {
	latency := d.backlog(q) + math.Max(q.latency.byClass[m.Class], d.agedLatency(q))
	timeLeft := m.deadline - d.now - time.Duration(math.Min(latency, maxExpectedSeconds)*float64(time.Second))
	cost := m.terms.PriorityWeight*(1-m.terms.valueAt(m.terms.Deadline-timeLeft)) +
		d.meanPriorityWeight*latency/m.terms.Deadline.Seconds()
	if zone := q.endpoints[0].Zone; zone >= 0 && zone < len(d.settings.ZoneCost) {
		cost += d.settings.ZoneCost[zone] * d.meanPriorityWeight
	}
	return cost
}

// rerouteQueued lets the queued messages of a queue select their route again.
func (d *Dispatcher) rerouteQueued(q *queue) {
	for _, m := range slices.Clone(q.queued) {
		m.dequeue()
		d.enqueue(d.selectRoute(m), m)
	}
}
