package checker

import "time"

const (
	// toleratedShare is the share of the requests of a run that may break a rule that is applied to the run as a whole.
	toleratedShare = 0.5
	// maxInconclusiveUntried is the largest number of untried requests that is too small a sample to prove a violation.
	maxInconclusiveUntried = 3
)

// untriedCount counts the requests that were accepted and had no attempt yet when a relay restarted.
type untriedCount struct {
	found, failed int
	lastFailed    *request
}

func (c *untriedCount) add(r *request) {
	c.found++
	if r.failedUntried() {
		c.failed, c.lastFailed = c.failed+1, r
	}
}

// violated reports whether more than half of the requests failed without an attempt, and there were enough of them to prove it.
func (c *untriedCount) violated() bool {
	return c.found > maxInconclusiveUntried && float64(c.failed) > toleratedShare*float64(c.found)
}

// checkRestartedUntried checks that requests that were accepted and had no attempt yet when their relay restarted still get one. At
// most half of them may fail without an attempt. The same limit applies separately to the requests among them that may not simply
// be repeated and had at least half of their time left.
func (h *history) checkRestartedUntried(log []Event) {
	outages := readOutages(log)
	var all, unrepeatable untriedCount
	for relay, ends := range h.processEnds {
		for _, end := range ends {
			ready := readyAfter(log, relay, end)
			for _, r := range h.leftUntried(relay, end, ready, outages) {
				all.add(r)
				if !h.mayBeRepeated(r) && r.deadline-ready >= (r.deadline-r.submittedAt)/2 {
					unrepeatable.add(r)
				}
			}
		}
	}
	switch {
	case all.violated():
		h.reportRequest(FailedUntried, all.lastFailed.notices[0].At, all.lastFailed,
			"%d of %d messages that restarts found untried were given up with no call, this one the last", all.failed, all.found)
	case unrepeatable.violated():
		h.reportRequest(FailedUntried, unrepeatable.lastFailed.notices[0].At, unrepeatable.lastFailed,
			"%d of %d messages that may not simply be repeated and that restarts found untried were given up with no call, this one the last",
			unrepeatable.failed, unrepeatable.found)
	}
}

// mayBeRepeated reports whether a request's class may be executed twice.
func (h *history) mayBeRepeated(r *request) bool {
	return h.Settings.Classes[r.class].Idempotency == idempotent
}

// leftUntried returns the requests that were accepted and had no attempt when a process ended, and for which the next process, which
// was ready at the given time, could still have made an attempt.
func (h *history) leftUntried(relay int, end, ready time.Duration, outages []outage) (untried []*request) {
	for _, r := range h.requests {
		if r.relay == relay && r.untriedAt(end) && r.deadline > ready && !destinationOut(outages, r, ready) {
			untried = append(untried, r)
		}
	}
	return untried
}

// readyAfter returns when a relay was next ready after its process ended, or never.
func readyAfter(log []Event, relay int, end time.Duration) time.Duration {
	for _, e := range log {
		if e.Kind == Ready && e.Relay == relay && e.At >= end {
			return e.At
		}
	}
	return never
}

// untriedAt reports whether at a time a request was accepted and had neither an outcome nor an attempt. A request that was lost with
// its relay's machine does not count.
func (r *request) untriedAt(at time.Duration) bool {
	if !r.accepted || r.redelivery || r.answeredAt > at || r.machineLostAt >= 0 {
		return false
	}
	if end := r.completedAt(); end >= 0 && end <= at {
		return false
	}
	return len(r.attempts) == 0 || r.attempts[0].firstByte > at
}

// failedUntried reports whether a request failed without an attempt.
func (r *request) failedUntried() bool { return len(r.attempts) == 0 && len(r.notices) > 0 }

// destinationOut reports whether the whole destination of a request had an outage at some time between from and the request's
// deadline. Such requests prove nothing: the log does not show attempts whose connections the kernel refused, and after the outage
// the relay may have to limit its attempts while the destination recovers.
func destinationOut(outages []outage, r *request, from time.Duration) bool {
	for _, o := range outages {
		if o.destination == r.destination && o.from < r.deadline && o.to > from {
			return true
		}
	}
	return false
}
