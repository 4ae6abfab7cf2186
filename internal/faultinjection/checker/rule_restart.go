package checker

import "time"

const (
	// half is the share of requests beyond which a rule that counts over a whole run is violated.
	half = 0.5
	// fewUntried is how many requests without an attempt prove nothing, or fewer.
	fewUntried = 3
)

// checkRestartedUntried checks that requests which a restart finds accepted and without an attempt still get one: at most half
// of them may fail without.
func (h *history) checkRestartedUntried(log []Event) {
	outages := readOutages(log)
	found, failed := 0, 0
	var last *request
	for relay, ends := range h.processEnds {
		for _, end := range ends {
			for _, r := range h.untriedBy(relay, end, readyAfter(log, relay, end), outages) {
				found++
				if r.failedUntried() {
					failed, last = failed+1, r
				}
			}
		}
	}
	if found > fewUntried && float64(failed) > half*float64(found) {
		h.reportRequest(FailedUntried, last.notices[0].At, last,
			"%d of %d messages that restarts found untried were given up with no call, this one the last", failed, found)
	}
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
