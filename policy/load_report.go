package policy

import "math"

const (
	// loweredLimitShare is the share of the listed rate below which a reported rate limit replaces
	// the listed rate. Reports are noisy, and a destination that lowers its limit lowers it by far
	// more than the noise.
	loweredLimitShare = 0.7
	// reportGain is the weight of a new report in the moving average of reported limits.
	reportGain = 0.3
	// minRemaining is the share of its rate limit allowance that a destination must report as left
	// for the send rate to rise. It does not apply to answers without a load report.
	minRemaining = 0.5
)

// recordReportedLimit records the rate limit that a destination reports, if a rate is listed for
// the destination. A destination may accept less than its listed rate for a while and reject calls
// above its reported limit. If the effective limit has changed, the send rate is reset to the
// relay's even share, but to no less than the lower of minStartRate and that limit.
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

// hasChanged reports whether two rates differ by more than the noise of load reports.
func hasChanged(before, now float64) bool {
	return now < loweredLimitShare*before || before < loweredLimitShare*now
}
