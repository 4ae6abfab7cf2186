package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// socketSlack is the tolerance that the protocol adds to each time limit for delays of sockets.
	socketSlack = 50 * time.Millisecond
	// retryAfterGrace is how long after a response with a Retry-After was written attempts may still arrive.
	retryAfterGrace = 100 * time.Millisecond
	// restartSlack is how long after a restarted relay is ready again it may still send overdue notices.
	restartSlack = 1500 * time.Millisecond
	// missingAfter is how long after the deadline of a request its terminal outcome counts as missing instead of late.
	missingAfter = 500 * time.Millisecond
	// crossingTime is the longest time for which messages in opposite directions may cross: a response that is written while the
	// relay cancels the attempt, or a notice that is in transit while the next attempt is sent.
	crossingTime = 250 * time.Millisecond
	// folderRetry is how long after its folder works again a relay may take to write the records that it could not write before.
	folderRetry = 150 * time.Millisecond
	// overloadSlack is the number of attempts by which the budget of a recovering destination may be exceeded by chance.
	overloadSlack = 3
	// overloadShare is the least share of the attempts that must come from relays that had observed the outage for the overload
	// of a recovering destination to be a violation.
	overloadShare = 2.0 / 3
	// observedAfter is how long a relay must have had a request in flight for a destination that refuses connections before the
	// relay counts as having observed the outage: connections that the kernel refuses are not logged.
	observedAfter = 500 * time.Millisecond
)

// check checks a whole run and reports the violations that it finds.
type check func(h *history, log []Event)

// checks are all checks; their files are named rule_NAME.go. Violations with the same time are reported in the order of their checks.
var checks = []check{
	eachRequest(
		(*history).checkOutcome,
		(*history).checkNoAttemptAfterEnd,
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

// eachRequest returns a check that applies all of the given checks to each request of a run, one request after the other.
func eachRequest(checks ...func(h *history, r *request)) check {
	return func(h *history, _ []Event) {
		for _, r := range h.requests {
			for _, check := range checks {
				check(h, r)
			}
		}
	}
}

// Judge checks the log of a run that ended at the given time against all rules, and counts its events.
func Judge(parameters Parameters, log []Event, end time.Duration) *Report {
	log = byTime(log)
	h := readHistory(parameters, log, end)
	for _, check := range checks {
		check(h, log)
	}
	slices.SortStableFunc(h.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	report := &Report{Violations: append([]Violation{}, h.violations...)} // an empty list instead of null in JSON
	h.count(report, log)
	return report
}

// report adds a violation. In the violation relays are numbered from 1. A negative destination means that none is concerned.
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

// formatTime formats a time in seconds for the text of a violation.
func formatTime(t time.Duration) string { return fmt.Sprintf("%.3f s", t.Seconds()) }
