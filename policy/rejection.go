package policy

import (
	"math"
	"time"
)

const (
	// backoffCalls at the pace, and leastPause where no pace is known, is the first pause after a refusal,
	// longestHold the longest: about the longest span in which receivers count calls.
	backoffCalls, minBackoff, maxBackoff = 0.5, 100 * time.Millisecond, time.Second
)

// recordRejection notes a refusal by the destination: a cut of the pace and a pause, twice as long for each
// refusal in a row, since refused calls may eat the limit; a run of them is a destination that is shut. A
// refusal at the door says nothing of the limit: it pauses, and leaves the pace.
func (d *Dispatcher) recordRejection(q *queue, door bool) {
	if q.rejections++; q.rejections == 1 {
		q.firstRejection = d.now
	}
	if q.sendRate > 0 && !door {
		q.sendRate = math.Max(minShareOfEven*d.evenShare(q), math.Min(q.sendRate*rateDecrease, (q.sendRate+d.evenShare(q))/2))
		q.tokens = math.Min(q.tokens, 0)
	}
	hold := math.Max(minBackoff.Seconds(), q.meanLatency)
	if q.sendRate > 0 {
		hold = backoffCalls / math.Max(q.sendRate, minCallsPerSpan/countingSpan.Seconds())
	}
	hold = math.Min(hold*math.Pow(2, float64(q.rejections-1)), math.Max(hold, maxBackoff.Seconds()))
	hold *= 0.5 + d.random.Float64() // relays that were refused together do not come back together
	until := &q.backoffUntil
	if door {
		until = &q.connHoldUntil // what is in already may go on
	} else {
		q.lastLimitRejection = d.now
	}
	*until, q.backoffStart = max(*until, d.now+time.Duration(hold*float64(time.Second))), d.now
	if d.unhealthyEarly(q, q.rejections) || q.rejections > unhealthyThreshold && d.now-q.firstRejection > unavailableAfter {
		for _, ep := range q.endpoints {
			d.markUnhealthy(ep)
		}
	}
}
