// Package destination models a destination: endpoints that execute attempts and queue them, a limit on attempts, pauses, outages,
// and the slow start after an outage.
//
// A [Model] has no sockets, no clock and no goroutines. The caller passes in each attempt, cancellation and fault with its time, and
// these times never decrease. The model returns completions and mode changes as [Action] values. When no other call is due earlier,
// the caller waits until [Model.NextDue] and calls [Model.Advance]. The model's own decisions depend only on the scenario, on random
// streams of the scenario's seed, and on the random number that each attempt carries ([Attempt.Draw]).
//
// # Files
//
//	model.go        Model: its state, its endpoints and its connections
//	attempt.go      Attempt, Completion and the other values that the model receives and returns
//	mode.go         Mode of an endpoint
//	endpoint.go     state of an endpoint, and the attempts that it executes
//	advance.go      the advance of time: when the next event is due, and the events due by a time
//	admission.go    Arrive: rejection, queueing and the outcome of an attempt
//	completion.go   completion and cancellation of attempts
//	key_memory.go   the idempotency keys that a destination remembers
//	rate_limit.go   the limit on attempts: token bucket or count per window
//	slow_start.go   the capacity of an endpoint during slow start, and how long attempts take then
//	outage.go       outages, degradations, drains and removals of endpoints
//	overload.go     the overload of a cold destination
//	load_report.go  load reports, which become visible after a delay
//	mmck.go         MMcK: what queueing theory predicts for a healthy endpoint
package destination
