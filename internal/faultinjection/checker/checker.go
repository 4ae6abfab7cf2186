package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// socketSlack is what the protocol adds to each limit in time for sockets.
	socketSlack = 50 * time.Millisecond
	// retryAfterGrace is how long after a Retry-After was written attempts may still come.
	retryAfterGrace = 100 * time.Millisecond
	// restartSlack is how long after a restarted relay is ready again its notices may be overdue.
	restartSlack = 1500 * time.Millisecond
	// lostAfter is how long after its deadline the terminal outcome of a request counts as missing, rather than late.
	lostAfter = 500 * time.Millisecond
	// crossingTime bounds how long messages in opposite directions may cross: a response that is written while the relay
	// cancels its attempt, a notice that is in transit while the next attempt is sent.
	crossingTime = 250 * time.Millisecond
	// folderRetry is how long a relay may take to write what it could not, after its folder works again.
	folderRetry = 150 * time.Millisecond
	// overloadSlack is how many attempts more than its budget a recovering destination may get by chance.
	overloadSlack = 3
	// overloadShare is the share of the attempts that overloaded a recovering destination which must be of relays that had
	// observed its outage, to be a violation.
	overloadShare = 2.0 / 3
	// observedAfter is how long a relay must have had a request in flight for a destination that refuses connections, to count
	// as having observed the outage: a connection that the kernel refuses is in no log.
	observedAfter = 500 * time.Millisecond
)

// check checks a whole run, and reports the violations that it finds.
type check func(h *history, log []Event)

// checks are all checks, in the order in which violations at one time are reported. Each is in a file of its own, rule_NAME.go.
var checks = []check{
	eachRequest(
		(*history).checkOutcome,
		(*history).checkAnswered,
		(*history).checkReadIsAnswered,
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

// eachRequest returns a check that applies checks of one request to each of a run, all checks to one before the next.
func eachRequest(checks ...func(h *history, r *request)) check {
	return func(h *history, _ []Event) {
		for _, r := range h.requests {
			for _, check := range checks {
				check(h, r)
			}
		}
	}
}

// Judge checks the log of a run that ended at a time against all rules, and counts what happened.
func Judge(parameters Parameters, log []Event, end time.Duration) *Report {
	log = byTime(log)
	h := readHistory(parameters, log, end)
	for _, check := range checks {
		check(h, log)
	}
	slices.SortStableFunc(h.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	report := &Report{Violations: append([]Violation{}, h.violations...)} // never null in JSON
	h.count(report, log)
	return report
}

// report adds a violation, in which relays are numbered from 1. A destination below 0 stands for none.
func (h *history) report(rule Rule, at time.Duration, id string, relay, destination int, format string, args ...any) {
	name := ""
	if destination >= 0 && destination < len(h.Destinations) {
		name = h.Destinations[destination].Name
	}
	h.violations = append(h.violations, Violation{rule, at, id, relay + 1, name, fmt.Sprintf(format, args...)})
}

// reportRequest adds a violation that concerns a request.
func (h *history) reportRequest(rule Rule, at time.Duration, r *request, format string, args ...any) {
	h.report(rule, at, r.id, r.relay, r.destination, format, args...)
}

// formatTime formats a time for people.
func formatTime(t time.Duration) string { return fmt.Sprintf("%.3f s", t.Seconds()) }
