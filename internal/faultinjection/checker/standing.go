package checker

import "time"

// This file holds the terms of the platform's standing test that count over a whole run.

const (
	// half is the share of a run's messages beyond which its terms are broken.
	half = 0.5
	// fewUntried messages that restarts find untried, or fewer, say nothing.
	fewUntried = 3
)

// standing checks the terms that count over the run: what restarts find taken on and untried is still tried, and messages
// are taken on before they are delivered, for over half of either.
func (j *judge) standing(log []Event) {
	j.tookLate()
	out := j.outages(log)
	found, given := 0, 0
	var last *charge
	for relay, ends := range j.reset {
		for _, end := range ends {
			ready := j.readyAfter(log, relay, end)
			for _, c := range j.order {
				if c.relay != relay || !c.untriedAt(end) || c.expires <= ready || barred(out, c, ready) {
					continue
				}
				found++
				if c.givenUp() {
					given, last = given+1, c
				}
			}
		}
	}
	if found > fewUntried && float64(given) > half*float64(found) {
		j.breach(GivenUntried, last.notices[0].At, last.id, last.relay, last.dest,
			"%d of %d messages that restarts found untried were given up with no call, this one the last", given, found)
	}
}

// readyAfter is when a relay next took clients after its process ended; never: it did not.
func (j *judge) readyAfter(log []Event, relay int, end time.Duration) time.Duration {
	for _, e := range log {
		if e.Kind == Ready && e.Relay == relay && e.At >= end {
			return e.At
		}
	}
	return never
}

// untriedAt tells whether a message was taken on by a time, had no end and no call by then, and no machine was lost with it.
func (c *charge) untriedAt(at time.Duration) bool {
	if !c.taken || c.resend || c.answered > at || c.voids >= 0 || c.end() >= 0 && c.end() <= at {
		return false
	}
	return len(c.attempts) == 0 || c.attempts[0].first > at
}

// givenUp tells whether a message ended by a notice, and no call was ever made for it.
func (c *charge) givenUp() bool { return len(c.attempts) == 0 && len(c.notices) > 0 }

// barred tells whether a message's partner was out as a whole for some of what was left of its time: calls that a kernel
// refuses are seen by no stand-in, and a partner that is back may have to be spared.
func barred(out []outage, c *charge, from time.Duration) bool {
	for _, o := range out {
		if o.dest == c.dest && o.from < c.expires && o.to > from {
			return true
		}
	}
	return false
}

// tookLate checks that messages were taken on in order to be delivered: not only once they were.
func (j *judge) tookLate() {
	taken, late := 0, 0
	var last *charge
	for _, c := range j.order {
		if !c.taken || c.resend {
			continue
		}
		taken++
		if c.delivered >= 0 && c.delivered < c.answered {
			late, last = late+1, c
		}
	}
	if float64(late) > half*float64(taken) {
		j.breach(TakenLate, last.answered, last.id, last.relay, last.dest,
			"%d of %d messages were answered only after their delivery, this one the last", late, taken)
	}
}
