package policy

import (
	"math"
)

const (
	// throttled is the share of its listed rate under which a reported limit counts: reports are noisy, and
	// a receiver that lowers its limit lowers it by far more. limitGain is a report's weight in that limit.
	throttled, limitGain = 0.7, 0.3
	// roomLeft of its allowance a destination must report for a pace to rise, where it reports at all.
	roomLeft = 0.5
)

// reported takes in the limit that a destination tells of itself: it may lower what it is listed with for a
// while, and what goes there above that is refused. The pace begins anew at the even share of what it is now.
func (d *Dispatcher) reported(q *queue, limit float64) {
	if !(limit > 0) || math.IsInf(limit, 0) || q.weight == 0 {
		return
	}
	before := q.rate()
	if q.limit == 0 || limit < throttled*q.limit || q.limit < throttled*limit {
		q.limit = limit
	} else {
		q.limit += limitGain * (limit - q.limit)
	}
	if now := q.rate(); q.pace > 0 && (now < throttled*before || before < throttled*now) {
		q.pace = math.Max(d.even(q), math.Min(now, pacedCalls/burstSpan.Seconds()))
	}
}
