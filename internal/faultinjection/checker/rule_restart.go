package checker

import "time"

const (
	// half is the share of a run's requests beyond which a term that counts over the run is broken.
	half = 0.5
	// fewUntried requests that restarts find untried, or fewer, say nothing.
	fewUntried = 3
)

// checkRestartedUntried checks that what restarts find accepted and untried is still tried: at most half of it may be given up
// without an attempt.
func (h *history) checkRestartedUntried(log []Event) {
	out := outages(log)
	found, failed := 0, 0
	var last *request
	for relay, ends := range h.processEnds {
		for _, end := range ends {
			for _, r := range h.untriedBy(relay, end, readyAfter(log, relay, end), out) {
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

// untriedBy returns the requests that a process which ended left accepted and untried, and that the next one, once it was
// ready, could still have tried.
func (h *history) untriedBy(relay int, end, ready time.Duration, out []outage) (untried []*request) {
	for _, r := range h.requests {
		if r.relay == relay && r.untriedAt(end) && r.deadline > ready && !destinationOut(out, r, ready) {
			untried = append(untried, r)
		}
	}
	return untried
}

// readyAfter is when a relay next took clients after its process ended; never: it did not.
func readyAfter(log []Event, relay int, end time.Duration) time.Duration {
	for _, e := range log {
		if e.Kind == Ready && e.Relay == relay && e.At >= end {
			return e.At
		}
	}
	return never
}

// untriedAt reports whether a request was accepted by a time, had no outcome and no attempt by then, and no machine was lost
// with it.
func (r *request) untriedAt(at time.Duration) bool {
	if !r.accepted || r.redelivery || r.answeredAt > at || r.machineLostAt >= 0 {
		return false
	}
	if end := r.completedAt(); end >= 0 && end <= at {
		return false
	}
	return len(r.attempts) == 0 || r.attempts[0].firstByte > at
}

// failedUntried reports whether a request ended by a notice, and no attempt was ever made for it.
func (r *request) failedUntried() bool { return len(r.attempts) == 0 && len(r.notices) > 0 }

// destinationOut reports whether a request's destination was out as a whole for some of what was left of its time: attempts
// that a kernel refuses are seen by no stand-in, and a destination that is back may have to be spared.
func destinationOut(out []outage, r *request, from time.Duration) bool {
	for _, o := range out {
		if o.destination == r.destination && o.from < r.deadline && o.to > from {
			return true
		}
	}
	return false
}
