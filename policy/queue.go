package policy

import (
	"slices"
	"sort"
	"time"
)

// queue is one first-come queue of the paper.
type queue struct {
	destination *destination
	endpoints   []*endpoint
	queued      []*message
	inFlight    []*call
	served      int // the turn in which it was last served
	latencyStats
	kind               int
	retryAfterUntil    time.Duration
	backoffUntil       time.Duration // our own pause after a refusal without a wait
	connHoldUntil      time.Duration // the same after a refusal at the door: for new connections only
	backoffStart       time.Duration // when that pause began
	lastLimitRejection time.Duration // the last refusal that was not at the door; 0 for never
	rejections         int           // refusals in a row
	firstRejection     time.Duration // of the refusals in a row
	lastSuccess        time.Duration // 0 for never
	connFailures       float64       // connections in a row that were not to be had, at endpoints that were not sick
	listedRate         float64       // calls a second that all relays may make; 0 for unknown
	reportedLimit      float64       // the same as the destination tells it; 0 for unknown
	sendRate           float64       // calls a second of this relay; 0 for unknown
	tokenBucket                      // of the pace
	arrivals           decayingCounter
	shadowRejections   decayingCounter // of the virtual copy under the basic rule
	shadowBacklog      float64
	shadowAt           time.Duration
	maxBatch           int
	separateRoute      bool
	active             bool // among Dispatcher.active
	unhealthy          bool // the last that was heard of an endpoint's health was bad
	// reusableConn is an endpoint at which a call ended well in this batch: its connection may carry the next.
	reusableConn *endpoint
}

// pausedUntil is when the next call may leave on a new connection, as far as waits and pauses tell.
func (q *queue) pausedUntil() time.Duration {
	return max(q.retryAfterUntil, q.backoffUntil, q.connHoldUntil)
}

// acceptsWork tells whether a queue has an endpoint that takes new work.
func (q *queue) acceptsWork() bool {
	for _, ep := range q.endpoints {
		if !ep.Draining && !ep.Removed {
			return true
		}
	}
	return false
}

// enqueue puts a message into a queue, by its order of arrival.
func (d *Dispatcher) enqueue(q *queue, m *message) {
	i := sort.Search(len(q.queued), func(i int) bool { return q.queued[i].seq > m.seq })
	q.queued = append(q.queued, nil)
	copy(q.queued[i+1:], q.queued[i:])
	q.queued[i] = m
	m.queue = q
	d.activate(q)
}

// activate notes that a queue has something to do.
func (d *Dispatcher) activate(q *queue) {
	if !q.active {
		q.active = true
		d.activeQueues = append(d.activeQueues, q)
	}
}

// deactivateQueues drops the queues that have nothing to do from the active ones, and forgets routes that left.
func (d *Dispatcher) deactivateQueues() {
	d.activeQueues = slices.DeleteFunc(d.activeQueues, func(q *queue) bool {
		q.active = len(q.queued) > 0 || len(q.inFlight) > 0
		if !q.active {
			d.removeIfUnused(q)
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
