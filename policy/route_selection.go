package policy

import (
	"math"
	"slices"
	"time"
)

// maxExpectedSeconds bounds an expected latency so that it fits into a time.Duration.
const maxExpectedSeconds = 1e6

// selectRoute returns the queue for a message. Among separate routes, it selects the route with the
// least cost.
func (d *Dispatcher) selectRoute(m *message) *queue {
	queues := d.destination(m.Destination).queues
	best, leastCost := queues[0], math.Inf(1)
	for _, q := range queues {
		d.fillUnknownLatency(q)
		if !q.separateRoute || !q.acceptsWork() {
			continue
		}
		if cost := d.routeCost(q, m); cost < leastCost {
			best, leastCost = q, cost
		}
	}
	return best
}

// routeCost returns the cost that a message adds on a route, modelled on the paper's rule (25). It
// is the sum of the value that the message loses by lateness, the price of the work left on the
// route, and the cost of the route's zone. Work that takes as long as the message's deadline is
// priced at one message of mean priority weight.
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

// rerouteQueued selects the routes of the messages of a queue again.
func (d *Dispatcher) rerouteQueued(q *queue) {
	for _, m := range slices.Clone(q.queued) {
		m.dequeue()
		d.enqueue(d.selectRoute(m), m)
	}
}
