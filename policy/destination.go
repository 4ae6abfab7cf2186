package policy

// destination is a destination of messages. Its endpoints share one queue, or each endpoint is a
// separate route with its own queue.
type destination struct {
	queues []*queue // never empty; queues[0] also holds messages while no endpoint is listed
}

// destination returns the destination with the given number and creates it if necessary.
func (d *Dispatcher) destination(number int) *destination {
	if d.destinations[number] == nil {
		d.destinations[number] = &destination{}
		d.addQueue(d.destinations[number])
	}
	return d.destinations[number]
}

// addQueue adds a queue to a destination.
func (d *Dispatcher) addQueue(to *destination) *queue {
	q := &queue{
		destination:      to,
		maxBatch:         1,
		latency:          latencyStats{byClass: make([]float64, len(d.settings.Classes))},
		sendBucket:       tokenBucket{refilledAt: d.now},
		arrivals:         decayingCounter{startedAt: d.now},
		shadowRejections: decayingCounter{startedAt: d.now},
	}
	to.queues = append(to.queues, q)
	d.queues = append(d.queues, q)
	return q
}

// removeIfUnused removes a queue that has no endpoints, queued messages or calls in flight, unless
// it is the only queue of its destination.
func (d *Dispatcher) removeIfUnused(q *queue) {
	siblings := q.destination.queues
	if len(q.endpoints) > 0 || q.active || siblings[0] == q && len(siblings) == 1 {
		return
	}
	q.destination.queues = remove(siblings, q)
	d.queues = remove(d.queues, q)
}
