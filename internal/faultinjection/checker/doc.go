// Package checker checks a run of relays against rules. Its only evidence is the log that the stand-ins for clients, destinations
// and discovery wrote; apart from the types of the settings it shares no code with the relay, so that an error in the relay's code
// cannot also make the checker overlook it. All times are relative to the start of the run.
//
// The rules are those of the protocol and some of the platform: every accepted request has exactly one terminal outcome, in time;
// no request is executed twice unless its class allows it; draining endpoints get no new attempts; a recovering destination is not
// overloaded; requests of ordered classes are sent in order; a Retry-After is respected; metrics and dead-letter stores agree with
// the log.
//
// [Judge] reads a log into a history of requests, attempts and relays, applies every check to it, and reports every [Violation].
// [Report.CheckStores] checks the dead-letter stores at the end of a run; [Report.MeasureWeight] measures the priority weight that
// was delivered.
//
// # Files
//
//   - checker.go: Judge, the list of checks, and the tolerances that several checks share
//   - event.go: the events of a log
//   - parameters.go: the settings by which a run is judged
//   - violation.go: the names of the rules, and Violation
//   - history.go: reading a log into a history
//   - request.go: the requests and attempts of a history
//   - absences.go: the times at which a relay did not serve, and the failures that they excuse
//   - rule_NAME.go: one rule each
//   - expected_metrics.go: the values that a relay's metrics should have according to the log
//   - outages.go: the outages of destinations
//   - counts.go: counts of messages and events
//   - weight.go: the share of the priority weight that was delivered
//   - message_outcomes.go: the outcome of each message, over all ids under which it was submitted
//   - quantile.go: quantiles of times
package checker
