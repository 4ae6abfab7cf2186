package checker

import "time"

const (
	// half is the share of requests beyond which a rule that counts over a whole run is violated.
	half = 0.5
	// fewUntried is how many requests without an attempt prove nothing, or fewer.
	fewUntried = 3
)

// untriedCount counts requests that restarts found accepted and without an attempt.
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

// violated reports whether more than half of a number that proves something failed without an attempt.
func (c *untriedCount) violated() bool {
	return c.found > fewUntried && float64(c.failed) > half*float64(c.found)
}

// checkRestartedUntried checks that requests which a restart finds accepted and without an attempt still get one: at most half
// of them may fail without, and at most half of those alone that may not simply be repeated and have half of their time left.
func (h *history) checkRestartedUntried(log []Event) {
	outages := readOutages(log)
	var all, unrepeatable untriedCount
	for relay, ends := range h.processEnds {
		for _, end := range ends {
			ready := readyAfter(log, relay, end)
			for _, r := range h.untriedBy(relay, end, ready, outages) {
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

// untriedBy returns the requests that a process which ended left accepted and without an attempt, and for which the next
// process, once it was ready, could still have made one.
func (h *history) untriedBy(relay int, end, ready time.Duration, outages []outage) (untried []*request) {
	for _, r := range h.requests {
		if r.relay == relay && r.untriedAt(end) && r.deadline > ready && !destinationOut(outages, r, ready) {
			untried = append(untried, r)
		}
	}
	return untried
}

// readyAfter is when a relay was next ready after its process ended; never: it was not.
func readyAfter(log []Event, relay int, end time.Duration) time.Duration {
	for _, e := range log {
		if e.Kind == Ready && e.Relay == relay && e.At >= end {
			return e.At
		}
	}
	return never
}

// untriedAt reports whether a request was accepted by a time, had neither outcome nor attempt by then, and was not lost with its
// relay's machine.
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

// destinationOut reports whether a request's destination was out as a whole at some time before its deadline: connections that
// a kernel refuses are in no log, and a destination that is back may have to be spared.
func destinationOut(outages []outage, r *request, from time.Duration) bool {
	for _, o := range outages {
		if o.destination == r.destination && o.from < r.deadline && o.to > from {
			return true
		}
	}
	return false
}
