package policy

import (
	"math"
	"time"
)

// route chooses the queue of a message. Among routes apart it takes the least added cost, in the manner
// of the paper's rule (25): worth lost by lateness, the fee, and the work left (priced so that a whole
// deadline of it costs one message).
func (d *Dispatcher) route(m *message) *queue {
	dest := d.dest(m.Destination)
	best, least := dest.queues[0], math.Inf(1)
	for _, q := range dest.queues {
		d.borrow(q)
		if !q.apart || !q.usable() {
			continue
		}
		done := d.backlog(q) + math.Max(q.class[m.Class], d.latency(q))
		late := m.expires - d.now - time.Duration(math.Min(done, 1e6)*float64(time.Second))
		cost := m.class.PriorityWeight*(1-m.class.worthAt(m.class.Deadline-late)) +
			d.meanWorth*done/m.class.Deadline.Seconds()
		if zone := q.eps[0].Zone; zone >= 0 && zone < len(d.s.ZoneCost) {
			cost += d.s.ZoneCost[zone] * d.meanWorth
		}
		if cost < least {
			best, least = q, cost
		}
	}
	return best
}

// reroute lets the held messages of a queue choose their route again.
func (d *Dispatcher) reroute(q *queue) {
	for _, m := range append([]*message(nil), q.held...) {
		m.release()
		d.hold(d.route(m), m)
	}
}
