package policy

// destination is where messages go: one queue, or one for each route.
type destination struct {
	queues []*queue // routes, or the one shared queue; queues[0] also serves while nothing is listed
}

// dest gives a destination, with one queue at least.
func (d *Dispatcher) dest(no int) *destination {
	if d.dests[no] == nil {
		dest := &destination{}
		d.dests[no] = dest
		d.addQueue(dest, 1, false)
	}
	return d.dests[no]
}

// addQueue adds a queue to a destination.
func (d *Dispatcher) addQueue(dest *destination, bundle int, apart bool) *queue {
	q := &queue{
		dest: dest, latencies: latencies{class: make([]float64, len(d.s.Classes))}, bundle: max(1, bundle), apart: apart,
		bucket: bucket{tokensAt: d.now}, arrivals: aged{since: d.now}, misses: aged{since: d.now},
	}
	dest.queues = append(dest.queues, q)
	d.queues = append(d.queues, q)
	return q
}

// forget drops a queue without endpoints and work, unless it is the one that stands for its destination.
func (d *Dispatcher) forget(q *queue) {
	if len(q.eps) > 0 || q.active || q.dest.queues[0] == q && len(q.dest.queues) == 1 {
		return
	}
	q.dest.queues, d.queues = remove(q.dest.queues, q), remove(d.queues, q)
}
