package policy

import (
	"math"
)

const (
	// loweredLimitShare is the share of its listed rate under which a reported limit counts: reports are noisy, and
	// a receiver that lowers its limit lowers it by far more. limitGain is a report's weight in that limit.
	loweredLimitShare, reportGain = 0.7, 0.3
	// minRemaining of its allowance a destination must report for a pace to rise, where it reports at all.
	minRemaining = 0.5
)

// recordReportedLimit takes in the limit that a destination tells of itself: it may lower what it is listed with for a
// while, and what goes there above that is refused. The pace begins anew at the even share of what it is now.
func (d *Dispatcher) recordReportedLimit(q *queue, limit float64) {
	if !(limit > 0) || math.IsInf(limit, 0) || q.listedRate == 0 {
		return
	}
	before := q.totalRate()
	if q.reportedLimit == 0 || limit < loweredLimitShare*q.reportedLimit || q.reportedLimit < loweredLimitShare*limit {
		q.reportedLimit = limit
	} else {
		q.reportedLimit += reportGain * (limit - q.reportedLimit)
	}
	if now := q.totalRate(); q.sendRate > 0 && (now < loweredLimitShare*before || before < loweredLimitShare*now) {
		q.sendRate = math.Max(d.evenShare(q), math.Min(now, minCallsPerSpan/countingSpan.Seconds()))
	}
}
