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
	// waitGrace is how long after a Retry-After was written attempts may still come.
	waitGrace = 100 * time.Millisecond
	// restartSlack after it is ready again a restarted relay's notices may be overdue.
	restartSlack = 1500 * time.Millisecond
	// lostAfter its deadline the terminal outcome of a request counts as lost: up to then it only earns nothing.
	lostAfter = 500 * time.Millisecond
	// crossingTime bounds how long messages of two sides may cross: an answer that is written while the relay cancels its
	// attempt, a notice that is on its way while the next attempt is sent.
	crossingTime = 250 * time.Millisecond
	// folderRetry is how long after a folder works again a relay may take to write to it what it could not.
	folderRetry = 150 * time.Millisecond
	// overloadSlack is the slack for chance in the rule on recovering destinations, in attempts.
	overloadSlack = 3
	// overloadShare of what overloaded a recovering destination must have come from relays that knew of its outage.
	overloadShare = 2.0 / 3
	// observedAfter is how long a relay must have held a request for a destination that refuses connections, to count as having
	// observed the outage: what the kernel refuses no stand-in sees.
	observedAfter = 500 * time.Millisecond
)

// rule checks a whole run, and reports the breaches that it finds.
type rule func(h *history, log []Event)

// rules are all checks, in the order in which breaches at one time are reported. Each is in a file of its own, rule_NAME.go.
var rules = []rule{
	eachRequest(
		(*history).checkOutcome,
		(*history).checkAnswered,
		(*history).checkIdempotency,
	),
	(*history).checkRedeliveries,
	(*history).checkOverwrites,
	(*history).checkAcceptedLate,
	(*history).checkRestartedUntried,
	(*history).checkDraining,
	(*history).checkRetryAfter,
	(*history).checkSlowStart,
	(*history).checkOrder,
	(*history).checkMetrics,
}

// eachRequest applies checks of one request to each of a run, all checks to one before the next.
func eachRequest(checks ...func(h *history, r *request)) rule {
	return func(h *history, _ []Event) {
		for _, r := range h.requests {
			for _, check := range checks {
				check(h, r)
			}
		}
	}
}

// Judge checks a run that ended at a time against all rules, and counts what came of it.
func Judge(f Parameters, log []Event, end time.Duration) *Report {
	log = byTime(log)
	h := readHistory(f, log, end)
	for _, check := range rules {
		check(h, log)
	}
	slices.SortStableFunc(h.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	r := &Report{Violations: append([]Violation{}, h.violations...)} // never null in JSON
	h.count(r, log)
	return r
}

// report reports a breach. A relay is numbered from 1 there; a destination below 0 is none.
func (h *history) report(rule Rule, at time.Duration, id string, relay, destination int, format string, args ...any) {
	name := ""
	if destination >= 0 && destination < len(h.Destinations) {
		name = h.Destinations[destination].Name
	}
	h.violations = append(h.violations, Violation{rule, at, id, relay + 1, name, fmt.Sprintf(format, args...)})
}

// reportRequest reports a breach that concerns a request.
func (h *history) reportRequest(rule Rule, at time.Duration, r *request, format string, args ...any) {
	h.report(rule, at, r.id, r.relay, r.destination, format, args...)
}

// formatTime writes a time for people.
func formatTime(t time.Duration) string { return fmt.Sprintf("%.3f s", t.Seconds()) }
