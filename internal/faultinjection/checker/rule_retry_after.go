package checker

import (
	"slices"
	"time"
)

// checkRetryAfter checks that a relay that was told to wait sent nothing to that partner until the wait was over.
func (j *history) checkRetryAfter() {
	type told struct{ from, until time.Duration }
	type towards struct{ relay, dest int }
	by := map[towards][]told{} // in the order in which they were told
	for _, a := range j.attempts {
		if a.outcome != Wait {
			continue
		}
		until := a.endedAt + a.retryAfter
		for _, end := range j.processEnds[a.relay] { // a restart ends it
			if end >= a.endedAt {
				until = min(until, end)
			}
		}
		key := towards{a.relay, a.destination}
		by[key] = append(by[key], told{a.endedAt, until})
	}
	for _, a := range j.attempts {
		key := towards{a.relay, a.destination}
		// Calls come here in the order of their last bytes: a wait that is over for one is over for all that follow.
		by[key] = slices.DeleteFunc(by[key], func(w told) bool {
			if a.lastByte >= w.until {
				return true
			}
			if a.lastByte <= w.from+waitGrace {
				return false
			}
			j.report(WaitIgnored, a.lastByte, j.idOf(a), a.relay, a.destination, "call to %s %s before the end of a wait told at %s", a.endpoint,
				formatTime(w.until-a.lastByte), formatTime(w.from))
			return true // one report a wait
		})
	}
}
