package policy

// destination is where messages go. Its endpoints share one queue, or are separate routes with a queue each.
type destination struct {
	queues []*queue // at least one; queues[0] also serves while no endpoint is listed
}

// destination returns a destination by its number.
func (d *Dispatcher) destination(number int) *destination {
	if d.destinations[number] == nil {
		dest := &destination{}
		d.destinations[number] = dest
		d.addQueue(dest)
	}
	return d.destinations[number]
}

// addQueue adds a queue to a destination.
func (d *Dispatcher) addQueue(dest *destination) *queue {
	q := &queue{
		destination:      dest,
		maxBatch:         1,
		latency:          latencyStats{byClass: make([]float64, len(d.settings.Classes))},
		sendBucket:       tokenBucket{refilledAt: d.now},
		arrivals:         decayingCounter{startedAt: d.now},
		shadowRejections: decayingCounter{startedAt: d.now},
	}
	dest.queues = append(dest.queues, q)
	d.queues = append(d.queues, q)
	return q
}

// removeIfUnused drops a queue without endpoints and work, unless it is the only one of its destination.
func (d *Dispatcher) removeIfUnused(q *queue) {
	dest := q.destination
	if len(q.endpoints) > 0 || q.active || dest.queues[0] == q && len(dest.queues) == 1 {
		return
	}
	dest.queues = remove(dest.queues, q)
	d.queues = remove(d.queues, q)
}
