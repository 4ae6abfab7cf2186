// Package checker judges a run of relays by rules, from nothing but the log that the stand-ins around them wrote. It shares no
// code with the relay or its decisions but the types of the settings. All times are since the start of the run.
//
// The rules are those of the protocol, and some of the platform's: every accepted request has exactly one terminal outcome, in
// time; nothing is executed twice that must not be; draining endpoints get nothing new; a recovering destination is not
// overloaded; order is kept where a class asks for it; a Retry-After is respected; metrics and dead-letter stores agree with
// the log.
//
// [Judge] reads a log into a history of requests, attempts and relays, has each rule check it, and reports every [Violation].
// [Report.CheckStores] adds the dead-letter stores at the end of a run, [Report.MeasureWeight] how much was delivered.
//
// # Files
//
//   - checker.go: Judge, the list of rules, and the tolerances that several of them use
//   - event.go: the events of a log
//   - parameters.go: the settings by which a run is judged
//   - violation.go: the rules' names, and violations of them
//   - history.go: a log read into a history
//   - request.go: the requests and attempts of a history
//   - absences.go: the times at which a relay did not serve, and what they excuse
//   - rule_NAME.go: one rule each
//   - metrics_account.go: what a relay's metrics should show
//   - outages.go: the times at which a destination was out
//   - counts.go: counts of what happened
//   - weight.go: the priority weight that was delivered
//   - served.go: the outcome of each message, under all its ids
//   - quantile.go: quantiles of times
package checker
