package policy

import (
	"math"
	"time"
)

const (
	// rateIncrease of itself is added to a pace by a success that found messages waiting for it, and a
	// refusal cuts it to paceCut: about one refused call in eight where the limit binds all the time.
	// It is raised so raisesASecond times at most, however many calls succeed: a destination that takes many
	// would be overrun within a second, and refused calls use its limit up.
	rateIncrease, rateDecrease, maxIncreasesPerSecond = 0.1, 0.8, 10
	// minShareOfEven is the least part of its even share that a queue's pace falls to: a rough weight that is
	// half too high is met by two thirds.
	minShareOfEven = 0.7
	// minCallsPerSpan a span is where a pace starts at least: where the even share is less, relays come by
	// chance, and refusals tell sooner than shares how much the others leave. Each halves what is above.
	minCallsPerSpan = 0.5
	// countingSpan of pace may be sent at once: receivers count calls in spans of about this length.
	countingSpan = time.Second
)

// sendTokens is what the pace of a queue allows to be sent now.
func (d *Dispatcher) sendTokens(q *queue) float64 {
	return q.refill(d.now, q.sendRate, math.Max(1, q.sendRate*countingSpan.Seconds()))
}

func (d *Dispatcher) consumeToken(q *queue) {
	if q.sendRate > 0 {
		d.sendTokens(q)
		q.tokens--
	}
}

// evenShare is this relay's even share of a queue's limit, in calls a second.
func (d *Dispatcher) evenShare(q *queue) float64 {
	return q.totalRate() / float64(d.settings.Instances)
}

// totalRate is the calls a second that a queue's destination takes from all relays just now; 0 for unknown.
func (q *queue) totalRate() float64 {
	if q.reportedLimit > 0 && q.reportedLimit < loweredLimitShare*q.listedRate {
		return q.reportedLimit
	}
	return q.listedRate
}

// setListedRate takes in the rate that a queue's destination is listed with.
func (d *Dispatcher) setListedRate(q *queue, weight float64) {
	if d.settings.Weights == WeightsOff || !(weight > 0) || math.IsInf(weight, 0) || weight == q.listedRate {
		return
	}
	q.listedRate = weight
	q.sendRate = math.Max(d.evenShare(q), minCallsPerSpan/countingSpan.Seconds())
	q.tokens, q.refilledAt = math.Max(1, q.sendRate*countingSpan.Seconds()), d.now
}

// lowTraffic tells whether a second knock is more than this relay's part of what a cold destination takes.
func (d *Dispatcher) lowTraffic(q *queue) bool {
	return q.listedRate > 0 && d.evenShare(q)*countingSpan.Seconds() < minCallsPerSpan
}
