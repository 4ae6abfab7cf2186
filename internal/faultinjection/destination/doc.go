// Package destination models a destination: endpoints that execute attempts and queue them, a limit on attempts, pauses, outages,
// and the slow start after them.
//
// A [Model] has no sockets, no clock and no goroutines. Attempts, cancellations and faults go in with their times, which never
// decrease; completions and changes of mode come out as [Action] values. Between two calls the caller waits until
// [Model.NextDue] and calls [Model.Advance]. All else that happens is decided by the scenario, by random streams of the
// scenario's seed, and by the draws that attempts bring along.
//
// # Files
//
//	model.go        Model: its state, its endpoints and its connections
//	attempt.go      Attempt, Completion and the other values that go in and come out
//	mode.go         Mode of an endpoint
//	endpoint.go     state of an endpoint, and the attempts that it executes
//	advance.go      the passing of time: what is due, and when
//	admission.go    Arrive: rejection, queueing and the outcome of an attempt
//	completion.go   completion and cancellation of attempts
//	key_memory.go   idempotency keys that a destination remembers
//	rate_limit.go   the limit on attempts: token bucket or count per window
//	slow_start.go   the capacity of an endpoint that warms up, and the time that work takes then
//	outage.go       outages, degradations, drains and removals of endpoints
//	overload.go     the overload of a cold destination
//	load_report.go  reports of the load, which are seen after a delay
//	mmck.go         MMcK: what queueing theory says of a healthy endpoint
package destination
