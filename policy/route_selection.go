package policy

import (
	"math"
	"time"
)

// selectRoute chooses the queue of a message. Among routes apart it takes the least added cost, in the manner
// of the paper's rule (25): worth lost by lateness, the fee, and the work left (priced so that a whole
// deadline of it costs one message).
func (d *Dispatcher) selectRoute(m *message) *queue {
	dest := d.destination(m.Destination)
	best, least := dest.queues[0], math.Inf(1)
	for _, q := range dest.queues {
		d.fillUnknownLatency(q)
		if !q.separateRoute || !q.acceptsWork() {
			continue
		}
		done := d.backlog(q) + math.Max(q.classLatency[m.Class], d.agedLatency(q))
		late := m.deadline - d.now - time.Duration(math.Min(done, 1e6)*float64(time.Second))
		cost := m.class.PriorityWeight*(1-m.class.valueAt(m.class.Deadline-late)) +
			d.meanPriorityWeight*done/m.class.Deadline.Seconds()
		if zone := q.endpoints[0].Zone; zone >= 0 && zone < len(d.settings.ZoneCost) {
			cost += d.settings.ZoneCost[zone] * d.meanPriorityWeight
		}
		if cost < least {
			best, least = q, cost
		}
	}
	return best
}

// rerouteQueued lets the held messages of a queue choose their route again.
func (d *Dispatcher) rerouteQueued(q *queue) {
	for _, m := range append([]*message(nil), q.queued...) {
		m.dequeue()
		d.enqueue(d.selectRoute(m), m)
	}
}
