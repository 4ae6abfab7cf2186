package policy

import (
	"math"
	"time"
)

const (
	// rateIncrease is the fraction of this relay's even share by which a success raises the send
	// rate while messages are queued. If the send rate exceeds an even share that is below
	// minStartRate, the fraction is taken of the send rate or of minStartRate, whichever is lower.
	rateIncrease = 0.1
	// rateDecrease is the factor by which a rejection lowers the send rate. Together with
	// rateIncrease, about one call in eight is rejected if demand always exceeds the rate limit.
	rateDecrease = 0.8
	// maxIncreasesPerSecond bounds the increases per second, however many calls succeed. Without
	// it, the send rate to a destination with a high rate limit would exceed the limit within a
	// second, and rejected calls count against the limit.
	maxIncreasesPerSecond = 10
	// minFractionOfEvenShare is the fraction of the even share below which the send rate does not
	// fall. An approximate weight may be half too high; two thirds of the even share are then the
	// correct rate.
	minFractionOfEvenShare = 0.7
	// minCallsPerWindow is the least send rate to start with, in calls per rateLimitWindow. If the
	// even share is lower, each relay makes calls only now and then. A start above the even share
	// then shows sooner, by rejections, how much capacity the other relays leave unused. Each
	// rejection by the rate limit at least halves the excess over the even share.
	minCallsPerWindow = 0.5
	// rateLimitWindow is about the time window over which destinations count calls for their rate
	// limit. The calls that the send rate allows in one window may be sent at once.
	rateLimitWindow = time.Second
)

// minStartRate returns minCallsPerWindow in calls per second.
func minStartRate() float64 { return minCallsPerWindow / rateLimitWindow.Seconds() }

// setListedRate applies the rate limit of a queue from the endpoint list. If the limit is usable
// and has changed, the send rate is reset to its start value.
func (d *Dispatcher) setListedRate(q *queue, rate float64) {
	if d.settings.Weights == WeightsOff || !(rate > 0) || math.IsInf(rate, 0) || rate == q.listedRate {
		return
	}
	q.listedRate = rate
	q.sendRate = math.Max(d.evenShare(q), minStartRate())
	q.sendBucket = tokenBucket{tokens: math.Max(1, q.sendRate*rateLimitWindow.Seconds()), refilledAt: d.now}
}

// evenShare returns this relay's even share of a queue's rate limit, in calls per second.
func (d *Dispatcher) evenShare(q *queue) float64 {
	return q.totalRate() / float64(d.settings.Instances)
}

// totalRate returns the current rate limit of a queue for all relays, in calls per second; 0 if it
// is unknown.
func (q *queue) totalRate() float64 {
	if q.reportedLimit > 0 && q.reportedLimit < loweredLimitShare*q.listedRate {
		return q.reportedLimit
	}
	return q.listedRate
}

// lowTraffic reports whether this relay's share of a destination's capacity is so small that a
// second trial request would exceed the relay's share of what a cold destination bears. If no rate
// is listed, the share is estimated by this relay's arrival rate, on the assumption that the
// destination can serve about the traffic of all relays.
func (d *Dispatcher) lowTraffic(q *queue) bool {
	rate := d.evenShare(q)
	if q.listedRate == 0 {
		if d.keepsIdleConns() {
			return false // with few relays, each has a considerable share of the traffic
		}
		rate = q.arrivals.rate(d.now)
	}
	return rate*rateLimitWindow.Seconds() < minCallsPerWindow
}

// raiseSendRate raises a queue's send rate after a success if messages are queued.
func (d *Dispatcher) raiseSendRate(q *queue) {
	if q.sendRate <= 0 || len(q.queued) == 0 {
		return
	}
	base := math.Max(d.evenShare(q), math.Min(q.sendRate, minStartRate()))
	q.sendRate = math.Min(q.sendRate+rateIncrease*base*math.Min(1, maxIncreasesPerSecond/q.sendRate), q.totalRate())
}

// lowerSendRate lowers a queue's send rate after a rejection and discards the available tokens.
func (d *Dispatcher) lowerSendRate(q *queue) {
	lowered := math.Min(q.sendRate*rateDecrease, (q.sendRate+d.evenShare(q))/2)
	q.sendRate = math.Max(minFractionOfEvenShare*d.evenShare(q), lowered)
	q.sendBucket.tokens = math.Min(q.sendBucket.tokens, 0)
}

// sendTokens returns the number of calls that the send rate of a queue allows now.
func (d *Dispatcher) sendTokens(q *queue) float64 {
	return q.sendBucket.refill(d.now, q.sendRate, math.Max(1, q.sendRate*rateLimitWindow.Seconds()))
}

// consumeSendToken takes the token for a call if the queue has a send rate.
func (d *Dispatcher) consumeSendToken(q *queue) {
	if q.sendRate > 0 {
		d.sendTokens(q)
		q.sendBucket.tokens--
	}
}
