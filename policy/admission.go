package policy

import "math"

// maxQueuedShare of MaxQueued may be in use before the queue that has most of it gets no more: no
// queue takes it all.
const maxQueuedShare = 0.75

// admitArrivals passes the messages that arrived in this batch through admission.
func (d *Dispatcher) admitArrivals() {
	for _, m := range d.arrivals {
		if m.state == messageActive {
			d.admit(m)
		}
	}
	clear(d.arrivals)
	d.arrivals = d.arrivals[:0]
}

// admit rejects an arriving message at once or puts it into a queue.
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
	d.feedShadowQueue(q, timeLeft-latency)
	if arrivalRate*q.serviceInterval() > 1 { // more arrive than can leave
		timeLeft = math.Min(timeLeft, d.maxUsefulAge(m.terms).Seconds()) // little time left need not be age
	}
	late := mustReject(backlog, latency, timeLeft-latency, arrivalRate-shadowRejectionRate, len(q.queued) > 0)
	if late || d.overcrowded(q) {
		d.reject(m, backlog+2*latency-timeLeft)
		return
	}
	d.enqueue(q, m)
}

// mustReject is the paper's admission rule. Its symbols:
//
//	u    the backlog: seconds until the destination has served what is queued ahead
//	x    the job's size: the message's expected latency, in seconds
//	τ    the longest wait after which the message still ends in time: the time left less x
//	net  λ−r, the arrival rate less the rate of deadline misses under the basic admission policy, per second
//
// The basic admission policy (Definition 1) rejects where u > τ. Where messages are queued, the
// lower bound of the value function (Lemma 8) also rejects where (λ−r)(u+x−τ) ≥ 1: admitting the
// message is then expected to cost at least one other its deadline. That holds for every u once x ≥
// τ + 1/(λ−r), the static rule (21).
func mustReject(u, x, τ, net float64, queued bool) bool {
	if u > τ {
		return true
	}
	return net > 0 && queued && u > 0 && (net*(u+x-τ) >= 1 || x >= τ+1/net)
}

// overcrowded reports whether there are too many unfinished messages for another one in this queue.
func (d *Dispatcher) overcrowded(q *queue) bool {
	if len(d.unfinished) > d.settings.MaxQueued {
		return true
	}
	room := maxQueuedShare * float64(d.settings.MaxQueued)
	return float64(len(d.unfinished)) > room && float64(len(q.queued)) > room/2
}

// feedShadowQueue adds an arrival to the shadow queue: a copy of the queue that admits by the basic
// rule alone, for a message that can wait so many seconds. Its rejection rate is the r of
// mustReject.
func (d *Dispatcher) feedShadowQueue(q *queue, maxWait float64) {
	q.shadowBacklog = math.Max(0, q.shadowBacklog-(d.now-q.shadowAt).Seconds())
	q.shadowAt = d.now
	if q.shadowBacklog > maxWait {
		q.shadowRejections.add(d.now, 1)
		return
	}
	q.shadowBacklog += q.serviceInterval()
}

// serviceInterval returns the seconds between messages that a queue sends one after another.
func (q *queue) serviceInterval() float64 {
	interval := q.latency.mean / math.Max(1, float64(len(q.inFlight)))
	if q.sendRate > 0 {
		interval = math.Max(interval, 1/(q.sendRate*float64(q.maxBatch)))
	}
	return interval
}

// backlog returns the seconds of work ahead of an arriving message: messages queued × mean latency
// ÷ calls in flight, and at least what Retry-After, backoff, the send rate and slow start imply. It
// is zero with a slot free and nothing queued.
func (d *Dispatcher) backlog(q *queue) float64 {
	work := float64(len(q.queued)) * d.agedLatency(q) / math.Max(1, float64(len(q.inFlight)))
	return math.Max(work, d.timeToNextSend(q, len(q.queued)))
}

// timeToNextSend returns the seconds until a queue's next call may leave with so many messages
// ahead of it, as far as Retry-After, backoff, the send rate and endpoint health tell.
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

// timeToRecoverySend returns the seconds until an endpoint that is not healthy may get a call with
// so many calls ahead of it: the next trial request, and if that succeeds the others at the rate of
// an endpoint halfway through its slow start.
func (d *Dispatcher) timeToRecoverySend(ep *endpoint, calls float64) float64 {
	const tiny = 1e-9 // in place of a rate of zero
	first := math.Max(0, 1-d.recoveryTokens(ep)) / math.Max(tiny, d.recoveryRate(ep, d.timeSinceRecovery(ep)))
	halfway := max(d.timeSinceRecovery(ep), d.settings.SlowStartTime/2)
	rate := d.recoveryRate(ep, halfway) * float64(len(ep.queue.endpoints))
	return first + calls/math.Max(tiny, rate)
}
