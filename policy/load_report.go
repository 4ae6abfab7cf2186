package policy

import "math"

const (
	// loweredLimitShare is the share of its listed rate under which a reported limit counts:
	// reports are noisy, and a destination that lowers its limit lowers it by far more.
	loweredLimitShare = 0.7
	// reportGain is the weight of a new report in the reported limit.
	reportGain = 0.3
	// minRemaining of its allowance a destination must report for a send rate to rise, where it
	// reports at all.
	minRemaining = 0.5
)

// recordReportedLimit learns from the rate limit that a destination reports: it may take less than
// it is listed with for a while, and rejects what it gets above that. The send rate starts anew at
// the even share where the limit has changed.
func (d *Dispatcher) recordReportedLimit(q *queue, limit float64) {
	if !(limit > 0) || math.IsInf(limit, 0) || q.listedRate == 0 {
		return
	}
	before := q.totalRate()
	if q.reportedLimit == 0 || hasChanged(q.reportedLimit, limit) {
		q.reportedLimit = limit
	} else {
		q.reportedLimit += reportGain * (limit - q.reportedLimit)
	}
	now := q.totalRate()
	if q.sendRate > 0 && hasChanged(before, now) {
		q.sendRate = math.Max(d.evenShare(q), math.Min(now, minStartRate()))
	}
}

// hasChanged reports whether a rate differs from an earlier one by more than noise.
func hasChanged(before, now float64) bool {
	return now < loweredLimitShare*before || before < loweredLimitShare*now
}
