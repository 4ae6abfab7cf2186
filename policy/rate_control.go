package policy

import (
	"math"
	"time"
)

const (
	// rateIncrease of itself is added to a send rate by a success that found messages queued.
	rateIncrease = 0.1
	// rateDecrease is what a rejection cuts a send rate to: with rateIncrease, about one rejected
	// call in eight where the limit binds all the time.
	rateDecrease = 0.8
	// maxIncreasesPerSecond bounds the increases, however many calls succeed: a destination that
	// takes many would be overrun within a second, and rejected calls count against its limit.
	maxIncreasesPerSecond = 10
	// minShareOfEven is the least part of its even share that a send rate falls to: a rough weight
	// that is half too high is met by two thirds.
	minShareOfEven = 0.7
	// minCallsPerSpan is where a send rate starts at least: where the even share is less, relays
	// have calls by chance, and rejections tell sooner than shares how much the others leave. Each
	// halves what is above.
	minCallsPerSpan = 0.5
	// countingSpan of the send rate may be sent at once: destinations count calls in spans of about
	// this length.
	countingSpan = time.Second
)

// minStartRate returns the least send rate that a queue starts with, in calls per second.
func minStartRate() float64 { return minCallsPerSpan / countingSpan.Seconds() }

// setListedRate applies the rate that a queue's destination is listed with. The send rate starts
// anew where it has changed.
func (d *Dispatcher) setListedRate(q *queue, rate float64) {
	if d.settings.Weights == WeightsOff || !(rate > 0) || math.IsInf(rate, 0) || rate == q.listedRate {
		return
	}
	q.listedRate = rate
	q.sendRate = math.Max(d.evenShare(q), minStartRate())
	q.sendBucket = tokenBucket{tokens: math.Max(1, q.sendRate*countingSpan.Seconds()), refilledAt: d.now}
}

// evenShare returns this relay's even share of a queue's rate limit, in calls per second.
func (d *Dispatcher) evenShare(q *queue) float64 {
	return q.totalRate() / float64(d.settings.Instances)
}

// totalRate returns the calls per second that a queue's destination takes from all relays just now;
// 0 for unknown.
func (q *queue) totalRate() float64 {
	if q.reportedLimit > 0 && q.reportedLimit < loweredLimitShare*q.listedRate {
		return q.reportedLimit
	}
	return q.listedRate
}

// lowTraffic reports whether a second trial request is more than this relay's part of what a cold
// destination takes. Where no rate is listed, that part goes by the relay's own traffic: a
// destination bears about what all relays have for it.
func (d *Dispatcher) lowTraffic(q *queue) bool {
	rate := d.evenShare(q)
	if q.listedRate == 0 {
		if d.keepsIdleConns() {
			return false // few relays: what one sees is a good part of all
		}
		rate = q.arrivals.rate(d.now)
	}
	return rate*countingSpan.Seconds() < minCallsPerSpan
}

// raiseSendRate raises a queue's send rate after a success, where messages wait for it.
func (d *Dispatcher) raiseSendRate(q *queue) {
	if q.sendRate <= 0 || len(q.queued) == 0 {
		return
	}
	base := math.Max(d.evenShare(q), math.Min(q.sendRate, minStartRate()))
	q.sendRate = math.Min(q.sendRate+rateIncrease*base*math.Min(1, maxIncreasesPerSecond/q.sendRate), q.totalRate())
}

// lowerSendRate lowers a queue's send rate after a rejection. Nothing is sent at once then.
func (d *Dispatcher) lowerSendRate(q *queue) {
	lowered := math.Min(q.sendRate*rateDecrease, (q.sendRate+d.evenShare(q))/2)
	q.sendRate = math.Max(minShareOfEven*d.evenShare(q), lowered)
	q.sendBucket.tokens = math.Min(q.sendBucket.tokens, 0)
}

// sendTokens returns how many calls the send rate of a queue allows now.
func (d *Dispatcher) sendTokens(q *queue) float64 {
	return q.sendBucket.refill(d.now, q.sendRate, math.Max(1, q.sendRate*countingSpan.Seconds()))
}

// consumeSendToken takes the token for a call, where a queue has a send rate.
func (d *Dispatcher) consumeSendToken(q *queue) {
	if q.sendRate > 0 {
		d.sendTokens(q)
		q.sendBucket.tokens--
	}
}
