package policy

import (
	"slices"
	"sort"
	"time"
)

// queue is one first-come queue of the paper.
type queue struct {
	dest   *destination
	eps    []*endpoint
	held   []*message
	out    []*call
	served int // the turn in which it was last served
	latencies
	kind      int
	waitUntil time.Duration
	holdUntil time.Duration // our own pause after a refusal without a wait
	doorUntil time.Duration // the same after a refusal at the door: for new connections only
	pausedAt  time.Duration // when that pause began
	limitAt   time.Duration // the last refusal that was not at the door; 0 for never
	fulls     int           // refusals in a row
	firstFull time.Duration // of the refusals in a row
	lastOK    time.Duration // 0 for never
	failures  float64       // connections in a row that were not to be had, at endpoints that were not sick
	weight    float64       // calls a second that all relays may make; 0 for unknown
	limit     float64       // the same as the destination tells it; 0 for unknown
	pace      float64       // calls a second of this relay; 0 for unknown
	bucket                  // of the pace
	arrivals  aged
	misses    aged // of the virtual copy under the basic rule
	copyWork  float64
	copyAt    time.Duration
	bundle    int
	apart     bool
	active    bool // among Dispatcher.active
	ill       bool // the last that was heard of an endpoint's health was bad
	// warm is an endpoint at which a call ended well in this batch: its connection may carry the next.
	warm *endpoint
}

// pausedUntil is when the next call may leave on a new connection, as far as waits and pauses tell.
func (q *queue) pausedUntil() time.Duration { return max(q.waitUntil, q.holdUntil, q.doorUntil) }

// usable tells whether a queue has an endpoint that takes new work.
func (q *queue) usable() bool {
	for _, ep := range q.eps {
		if !ep.Draining && !ep.Removed {
			return true
		}
	}
	return false
}

// hold puts a message into a queue, by its order of arrival.
func (d *Dispatcher) hold(q *queue, m *message) {
	i := sort.Search(len(q.held), func(i int) bool { return q.held[i].seq > m.seq })
	q.held = append(q.held, nil)
	copy(q.held[i+1:], q.held[i:])
	q.held[i] = m
	m.q = q
	d.wake(q)
}

// wake notes that a queue has something to do.
func (d *Dispatcher) wake(q *queue) {
	if !q.active {
		q.active = true
		d.active = append(d.active, q)
	}
}

// rest drops the queues that have nothing to do from the active ones, and forgets routes that left.
func (d *Dispatcher) rest() {
	d.active = slices.DeleteFunc(d.active, func(q *queue) bool {
		q.active = len(q.held) > 0 || len(q.out) > 0
		if !q.active {
			d.forget(q)
		}
		return !q.active
	})
}

// remove takes v out of a slice and keeps the order.
func remove[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
