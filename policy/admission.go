package policy

import "math"

// maxQueuedShare prevents a single queue from using up MaxQueued: while more than this share of
// MaxQueued is in use, a queue that holds more than half of the share admits no further message.
const maxQueuedShare = 0.75

// admitArrivals applies admission to the messages that arrived in this batch.
func (d *Dispatcher) admitArrivals() {
	for _, m := range d.arrivals {
		if m.state == messageActive {
			d.admit(m)
		}
	}
	clear(d.arrivals)
	d.arrivals = d.arrivals[:0]
}

// admit rejects or queues an arriving message.
func (d *Dispatcher) admit(m *message) {
	q := d.selectRoute(m)
	if m.Background {
		d.admitBackground(q, m)
		return
	}
	q.arrivals.add(d.now, 1)
	timeLeft := (m.deadline - d.now).Seconds()
	backlog, latency := d.backlog(q), q.latency.byClass[m.Class]
	arrivalRate, shadowRejectionRate := q.arrivals.rate(d.now), q.shadowRejections.rate(d.now)
	d.recordShadowArrival(q, timeLeft-latency)
	if arrivalRate*q.serviceInterval() > 1 { // overload: messages arrive faster than the queue is served
		// The age of the message is not subtracted, because it is unknown: a message with little
		// time left may have been submitted just now.
		timeLeft = math.Min(timeLeft, d.maxUsefulAge(m.terms).Seconds())
	}
	late := mustReject(backlog, latency, timeLeft-latency, arrivalRate-shadowRejectionRate, len(q.queued) > 0)
	if late || d.exceedsQueueLimits(q) {
		d.reject(m, backlog+2*latency-timeLeft)
		return
	}
	d.enqueue(q, m)
}

// mustReject is the paper's admission rule. Its symbols:
//
//	u    the backlog: seconds until the destination has served the messages queued ahead
//	x    the job size: the message's expected latency, in seconds
//	τ    the longest wait after which the message still meets its deadline: its time left minus x
//	net  λ−r, per second: the arrival rate minus the rejection rate of the basic admission policy
//
// The basic admission policy (Definition 1) rejects if u > τ. If messages are queued, the lower
// bound of the value function (Lemma 8) also rejects if (λ−r)(u+x−τ) ≥ 1: admitting the message is
// then expected to make at least one other message miss its deadline. That condition holds for
// every u if x ≥ τ + 1/(λ−r), which is the static rule (21).
func mustReject(u, x, τ, net float64, queued bool) bool {
	if u > τ {
		return true
	}
	return net > 0 && queued && u > 0 && (net*(u+x-τ) >= 1 || x >= τ+1/net)
}

// exceedsQueueLimits reports whether the number of unfinished messages forbids another message in
// this queue.
func (d *Dispatcher) exceedsQueueLimits(q *queue) bool {
	if len(d.unfinished) > d.settings.MaxQueued {
		return true
	}
	limit := maxQueuedShare * float64(d.settings.MaxQueued)
	return float64(len(d.unfinished)) > limit && float64(len(q.queued)) > limit/2
}

// recordShadowArrival applies the arrival of a message that can wait for maxWait seconds to the
// shadow queue: a model of the queue that admits by the basic admission policy alone. The rejection
// rate of the shadow queue is the r of mustReject.
func (d *Dispatcher) recordShadowArrival(q *queue, maxWait float64) {
	q.shadowBacklog = math.Max(0, q.shadowBacklog-(d.now-q.shadowAt).Seconds())
	q.shadowAt = d.now
	if q.shadowBacklog > maxWait {
		q.shadowRejections.add(d.now, 1)
		return
	}
	q.shadowBacklog += q.serviceInterval()
}

// serviceInterval returns the mean number of seconds between the messages that a queue sends.
func (q *queue) serviceInterval() float64 {
	interval := q.latency.mean / math.Max(1, float64(len(q.inFlight)))
	if q.sendRate > 0 {
		interval = math.Max(interval, 1/(q.sendRate*float64(q.maxBatch)))
	}
	return interval
}

// backlog returns the seconds of work ahead of an arriving message: messages queued × mean latency
// ÷ calls in flight, or timeToNextSend if that is longer. It is zero if nothing is queued and the
// queue may send now.
func (d *Dispatcher) backlog(q *queue) float64 {
	work := float64(len(q.queued)) * d.agedLatency(q) / math.Max(1, float64(len(q.inFlight)))
	return math.Max(work, d.timeToNextSend(q, len(q.queued)))
}

// timeToNextSend returns the seconds until Retry-After, backoff, the send rate and endpoint health
// allow a queue to send a message that has the given number of messages ahead of it.
func (d *Dispatcher) timeToNextSend(q *queue, ahead int) float64 {
	wait := math.Max(0, (q.pausedUntil() - d.now).Seconds())
	calls := float64(ahead) / float64(q.maxBatch)
	if q.sendRate > 0 {
		wait = math.Max(wait, (calls+1-d.sendTokens(q))/q.sendRate)
	}
	recovery := math.Inf(1)
	for _, ep := range q.endpoints {
		if ep.health == healthy {
			return wait
		}
		recovery = math.Min(recovery, d.timeToRecoverySend(ep, calls))
	}
	if len(q.endpoints) == 0 {
		return wait
	}
	return math.Max(wait, recovery)
}

// timeToRecoverySend returns the seconds until an endpoint that is not healthy may get a call that
// has the given number of calls ahead of it. It assumes that the next trial request succeeds, and
// that the calls after it are sent at the recovery rate halfway through slow start.
func (d *Dispatcher) timeToRecoverySend(ep *endpoint, calls float64) float64 {
	const minRate = 1e-9 // avoids division by a rate of zero
	first := math.Max(0, 1-d.recoveryTokens(ep)) / math.Max(minRate, d.recoveryRate(ep, d.timeSinceRecovery(ep)))
	halfway := max(d.timeSinceRecovery(ep), d.settings.SlowStartTime/2)
	rate := d.recoveryRate(ep, halfway) * float64(len(ep.queue.endpoints))
	return first + calls/math.Max(minRate, rate)
}
