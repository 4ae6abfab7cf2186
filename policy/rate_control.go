package policy

import (
	"math"
	"time"
)

const (
	// paceRaise of itself is added to a pace by a success that found messages waiting for it, and a
	// refusal cuts it to paceCut: about one refused call in eight where the limit binds all the time.
	// It is raised so raisesASecond times at most, however many calls succeed: a destination that takes many
	// would be overrun within a second, and refused calls use its limit up.
	paceRaise, paceCut, raisesASecond = 0.1, 0.8, 10
	// paceFloor is the least part of its even share that a queue's pace falls to: a rough weight that is
	// half too high is met by two thirds.
	paceFloor = 0.7
	// pacedCalls a span is where a pace starts at least: where the even share is less, relays come by
	// chance, and refusals tell sooner than shares how much the others leave. Each halves what is above.
	pacedCalls = 0.5
	// burstSpan of pace may be sent at once: receivers count calls in spans of about this length.
	burstSpan = time.Second
)

// tokens is what the pace of a queue allows to be sent now.
func (d *Dispatcher) tokens(q *queue) float64 {
	return q.fill(d.now, q.pace, math.Max(1, q.pace*burstSpan.Seconds()))
}

func (d *Dispatcher) spend(q *queue) {
	if q.pace > 0 {
		d.tokens(q)
		q.tokens--
	}
}

// even is this relay's even share of a queue's limit, in calls a second.
func (d *Dispatcher) even(q *queue) float64 { return q.rate() / float64(d.s.Instances) }

// rate is the calls a second that a queue's destination takes from all relays just now; 0 for unknown.
func (q *queue) rate() float64 {
	if q.limit > 0 && q.limit < throttled*q.weight {
		return q.limit
	}
	return q.weight
}

// weigh takes in the rate that a queue's destination is listed with.
func (d *Dispatcher) weigh(q *queue, weight float64) {
	if d.s.Weights == WeightsOff || !(weight > 0) || math.IsInf(weight, 0) || weight == q.weight {
		return
	}
	q.weight = weight
	q.pace = math.Max(d.even(q), pacedCalls/burstSpan.Seconds())
	q.tokens, q.tokensAt = math.Max(1, q.pace*burstSpan.Seconds()), d.now
}

// sparse tells whether a second knock is more than this relay's part of what a cold destination takes.
func (d *Dispatcher) sparse(q *queue) bool {
	return q.weight > 0 && d.even(q)*burstSpan.Seconds() < pacedCalls
}
