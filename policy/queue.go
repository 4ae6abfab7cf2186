package policy

import (
	"slices"
	"sort"
	"time"
)

// queue is one of the paper's parallel first-come queues: the messages for a destination, or for
// one route of it, and what is known of the endpoints behind it.
type queue struct {
	destination   *destination
	kind          int // of its endpoints
	maxBatch      int // most messages in one call
	separateRoute bool
	endpoints     []*endpoint
	queued        []*message // in order of arrival
	inFlight      []*call
	active        bool // among Dispatcher.activeQueues

	latency    latencyStats
	listedRate float64 // calls per second from all relays by the endpoint list; 0 for unknown
	// reportedLimit is the same by the destination's load reports; 0 for unknown.
	reportedLimit float64
	sendRate      float64 // calls per second of this relay; 0 for unknown
	sendBucket    tokenBucket

	retryAfterUntil time.Duration // end of the time for which the destination asked not to be called
	backoffUntil    time.Duration // end of the backoff after a rejection
	connHoldUntil   time.Duration // end of a backoff that holds back new connections only
	backoffStart    time.Duration // start of the latest backoff of either sort

	rejections         int           // consecutive rejections
	firstRejection     time.Duration // the first of them
	lastLimitRejection time.Duration // the last rejection by a rate limit; 0 for never
	lastSuccess        time.Duration // 0 for never
	connFailures       float64       // consecutive failures to connect to endpoints that were not unhealthy
	unhealthy          bool          // the latest news of an endpoint's health was bad

	arrivals decayingCounter
	// The shadow queue gets the same arrivals under the basic rule alone; see feedShadowQueue.
	shadowRejections decayingCounter
	shadowBacklog    float64 // seconds
	shadowAt         time.Duration

	// reusableConn is an endpoint at which a call succeeded in this batch: its connection may carry
	// the next one.
	reusableConn *endpoint
}

// pausedUntil returns when the next call may leave on a new connection, as far as Retry-After and
// backoff tell.
func (q *queue) pausedUntil() time.Duration {
	return max(q.retryAfterUntil, q.backoffUntil, q.connHoldUntil)
}

// acceptsWork reports whether a queue has an endpoint that takes new calls.
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
	q.queued = slices.Insert(q.queued, i, m)
	m.queue = q
	d.activate(q)
}

// dequeue takes a message out of its queue, if it is in one.
func (m *message) dequeue() {
	if m.queue != nil {
		m.queue.queued = remove(m.queue.queued, m)
		m.queue = nil
	}
}

// activate notes that a queue has something to do.
func (d *Dispatcher) activate(q *queue) {
	if !q.active {
		q.active = true
		d.activeQueues = append(d.activeQueues, q)
	}
}

// deactivateQueues drops the queues that have nothing to do from the active ones, and removes
// routes that have left the list.
func (d *Dispatcher) deactivateQueues() {
	d.activeQueues = slices.DeleteFunc(d.activeQueues, func(q *queue) bool {
		q.active = len(q.queued) > 0 || len(q.inFlight) > 0
		if !q.active {
			d.removeIfUnused(q)
		}
		return !q.active
	})
}

// remove deletes the first v from a list and keeps the order.
func remove[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return append(list[:i], list[i+1:]...)
	}
	return list
}
