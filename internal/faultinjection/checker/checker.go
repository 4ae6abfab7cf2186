package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// socketSlack is what the protocol adds to each limit in time on sockets.
	socketSlack = 50 * time.Millisecond
	// waitGrace is how long after a wait was written calls may still come.
	waitGrace = 100 * time.Millisecond
	// restartSlack after it is ready again a restarted relay's notices may be overdue.
	restartSlack = 1500 * time.Millisecond
	// lostAfter the time of a message its end is none any more: up to then it only earns nothing.
	lostAfter = 500 * time.Millisecond
	// crossingTime bounds how long two sides may take for the same: an answer that is written while the relay gives
	// its call up, a notice that is on its way while the next call goes out.
	crossingTime = 250 * time.Millisecond
	// folderRetry is how long after a folder works again a relay may take to write to it what it could not.
	folderRetry = 150 * time.Millisecond
	// overloadSlack is the little slack for chance in the rule on returning destinations, in calls.
	overloadSlack = 3
	// overloadShare of what pushed a destination over must have come from relays that knew of its outage.
	overloadShare = 2.0 / 3
	// observedAfter is how long a relay must have held a message for a partner that refuses connections, to be held to
	// have seen it: what the kernel refuses no stand-in sees.
	observedAfter = 500 * time.Millisecond
)

// Judge judges a run that was over at a time.
func Judge(f Figures, log []Event, over time.Duration) *Report {
	j := &history{
		Figures: f, end: over, requestsByID: map[string]*request{}, attemptsByNumber: map[int]*attempt{}, absences: map[int][]interval{},
		processEnds: map[int][]time.Duration{}, machineLosses: map[int][]time.Duration{}, folderFailures: newPeriods(), socketFailures: newPeriods(), halts: newPeriods(),
	}
	log = byTime(log)
	j.read(log)
	for _, c := range j.requests {
		j.checkOutcome(c)
		j.checkAnswered(c)
		j.checkIdempotency(c)
	}
	j.checkRedeliveries()
	j.checkOverwrites()
	j.checkRestartedUntried(log)
	j.checkDraining(log)
	j.checkRetryAfter()
	j.checkSlowStart(log)
	j.checkOrder()
	j.checkMetrics(log)
	slices.SortStableFunc(j.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	r := &Report{Breaches: append([]Breach{}, j.breaches...)} // never null in JSON
	j.count(r, log)
	return r
}

func (j *history) report(rule Rule, at time.Duration, id string, relay, dest int, format string, args ...any) {
	name := ""
	if dest >= 0 && dest < len(j.Destinations) {
		name = j.Destinations[dest].Name
	}
	j.breaches = append(j.breaches, Breach{rule, at, id, relay + 1, name, fmt.Sprintf(format, args...)})
}

// formatTime writes a time for people.
func formatTime(t time.Duration) string { return fmt.Sprintf("%.3f s", t.Seconds()) }
