package checker

import (
	"time"
)

const (
	// half is the share of a run's messages beyond which its terms are broken.
	half = 0.5
	// fewUntried messages that restarts find untried, or fewer, say nothing.
	fewUntried = 3
)

// checkRestartedUntried checks the terms that count over the run: what restarts find taken on and untried is still tried, and messages
// are taken on before they are delivered, for over half of either.
func (j *history) checkRestartedUntried(log []Event) {
	j.checkAcceptedLate()
	out := j.outages(log)
	found, given := 0, 0
	var last *request
	for relay, ends := range j.processEnds {
		for _, end := range ends {
			ready := j.readyAfter(log, relay, end)
			for _, c := range j.requests {
				if c.relay != relay || !c.untriedAt(end) || c.deadline <= ready || destinationOut(out, c, ready) {
					continue
				}
				found++
				if c.failedUntried() {
					given, last = given+1, c
				}
			}
		}
	}
	if found > fewUntried && float64(given) > half*float64(found) {
		j.report(GivenUntried, last.notices[0].At, last.id, last.relay, last.destination,
			"%d of %d messages that restarts found untried were given up with no call, this one the last", given, found)
	}
}

// readyAfter is when a relay next took clients after its process ended; never: it did not.
func (j *history) readyAfter(log []Event, relay int, end time.Duration) time.Duration {
	for _, e := range log {
		if e.Kind == Ready && e.Relay == relay && e.At >= end {
			return e.At
		}
	}
	return never
}

// untriedAt tells whether a message was taken on by a time, had no end and no call by then, and no machine was lost with it.
func (c *request) untriedAt(at time.Duration) bool {
	if !c.accepted || c.redelivery || c.answeredAt > at || c.machineLostAt >= 0 || c.completedAt() >= 0 && c.completedAt() <= at {
		return false
	}
	return len(c.attempts) == 0 || c.attempts[0].firstByte > at
}

// failedUntried tells whether a message ended by a notice, and no call was ever made for it.
func (c *request) failedUntried() bool { return len(c.attempts) == 0 && len(c.notices) > 0 }

// destinationOut tells whether a message's partner was out as a whole for some of what was left of its time: calls that a kernel
// refuses are seen by no stand-in, and a partner that is back may have to be spared.
func destinationOut(out []outage, c *request, from time.Duration) bool {
	for _, o := range out {
		if o.dest == c.destination && o.from < c.deadline && o.to > from {
			return true
		}
	}
	return false
}
