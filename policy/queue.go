package policy

import (
	"slices"
	"sort"
	"time"
)

// queue is one of the paper's parallel first-come, first-served queues. It holds the messages for a
// destination, or for one separate route of a destination, and the statistics and limits of the
// endpoints that serve it.
type queue struct {
	destination   *destination
	kind          int // kind of the destination, as in Endpoint
	maxBatch      int // largest number of messages in a call
	separateRoute bool
	endpoints     []*endpoint
	queued        []*message // in order of arrival
	inFlight      []*call
	active        bool // in Dispatcher.activeQueues

	latency    latencyStats
	listedRate float64 // rate limit in the endpoint list, in calls per second of all relays; 0 if unknown
	// reportedLimit is the rate limit in the destination's load reports, in calls per second of all
	// relays; 0 if unknown.
	reportedLimit float64
	sendRate      float64 // of this relay, in calls per second; 0 if not limited
	sendBucket    tokenBucket

	retryAfterUntil time.Duration // end of the destination's last Retry-After
	backoffUntil    time.Duration // end of the backoff after a rejection
	connHoldUntil   time.Duration // end of the backoff after a rejection of a connection
	backoffStart    time.Duration // start of the last backoff of either kind

	rejections         int           // consecutive rejections
	firstRejection     time.Duration // time of the first of these rejections
	lastLimitRejection time.Duration // time of the last rejection by a rate limit; 0 if there was none
	lastSuccess        time.Duration // time of the last successful call; 0 if there was none
	connFailures       float64       // consecutive failures to connect, at endpoints that were not unhealthy
	unhealthy          bool          // an endpoint became unhealthy after the last successful call

	arrivals decayingCounter
	// The shadow queue gets the same arrivals and admits by the basic admission policy alone; see
	// recordShadowArrival.
	shadowRejections decayingCounter
	shadowBacklog    float64 // seconds
	shadowAt         time.Duration
}

// pausedUntil returns the time from which Retry-After and backoff allow a call.
func (q *queue) pausedUntil() time.Duration {
	return max(q.retryAfterUntil, q.backoffUntil, q.connHoldUntil)
}

// acceptsWork reports whether a queue has an endpoint that is neither draining nor removed.
func (q *queue) acceptsWork() bool {
	for _, ep := range q.endpoints {
		if !ep.Draining && !ep.Removed {
			return true
		}
	}
	return false
}

// enqueue inserts a message into a queue by its sequence number.
func (d *Dispatcher) enqueue(q *queue, m *message) {
	i := sort.Search(len(q.queued), func(i int) bool { return q.queued[i].seq > m.seq })
	q.queued = slices.Insert(q.queued, i, m)
	m.queue = q
	d.activate(q)
}

// dequeue removes a message from its queue if it is queued.
func (m *message) dequeue() {
	if m.queue != nil {
		m.queue.queued = remove(m.queue.queued, m)
		m.queue = nil
	}
}

// activate adds a queue to the active queues.
func (d *Dispatcher) activate(q *queue) {
	if !q.active {
		q.active = true
		d.activeQueues = append(d.activeQueues, q)
	}
}

// deactivateQueues removes the queues without queued messages and calls in flight from the active
// queues, and deletes the queues of separate routes that are no longer listed.
func (d *Dispatcher) deactivateQueues() {
	d.activeQueues = slices.DeleteFunc(d.activeQueues, func(q *queue) bool {
		q.active = len(q.queued) > 0 || len(q.inFlight) > 0
		if !q.active {
			d.removeIfUnused(q)
		}
		return !q.active
	})
}

// remove deletes the first occurrence of v from a list and keeps the order.
func remove[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return append(list[:i], list[i+1:]...)
	}
	return list
}
