package policy

// destination is where messages go: one queue, or one for each route.
type destination struct {
	queues []*queue // routes, or the one shared queue; queues[0] also serves while nothing is listed
}

// destination gives a destination, with one queue at least.
func (d *Dispatcher) destination(no int) *destination {
	if d.destinations[no] == nil {
		dest := &destination{}
		d.destinations[no] = dest
		d.addQueue(dest, 1, false)
	}
	return d.destinations[no]
}

// addQueue adds a queue to a destination.
func (d *Dispatcher) addQueue(dest *destination, bundle int, apart bool) *queue {
	q := &queue{
		destination: dest, latencyStats: latencyStats{classLatency: make([]float64, len(d.settings.Classes))}, maxBatch: max(1, bundle), separateRoute: apart,
		tokenBucket: tokenBucket{refilledAt: d.now}, arrivals: decayingCounter{startedAt: d.now}, shadowRejections: decayingCounter{startedAt: d.now},
	}
	dest.queues = append(dest.queues, q)
	d.queues = append(d.queues, q)
	return q
}

// removeIfUnused drops a queue without endpoints and work, unless it is the one that stands for its destination.
func (d *Dispatcher) removeIfUnused(q *queue) {
	if len(q.endpoints) > 0 || q.active || q.destination.queues[0] == q && len(q.destination.queues) == 1 {
		return
	}
	q.destination.queues, d.queues = remove(q.destination.queues, q), remove(d.queues, q)
}
