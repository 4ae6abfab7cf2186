// Package lease is the client's side of the coordination service (frostlink-coord): may this process act under a lease now?
//
// Core decides, and has neither I/O nor a clock: every call gives it the time on the boot-time clock, which goes on while
// a machine is suspended. Client keeps a Core by calling the service, and runs the fleet's tasks under leases.
//
// # Time
//
// A session lasts from the moment in which its last renewal was sent, not answered, for its time to live, less twice the rate
// by which two clocks may drift apart (RateBound) and less a guard. So a process stops acting before the service can grant
// its lease to another, without comparing clocks.
//
// # What a lease does not promise
//
// A process that is stopped between Act and its system call, until after the lease has passed on, acts on waking although
// another holds it. So every task says what makes that harmless (Guard): a resource that refuses older fencing tokens, or an
// idempotent act.
//
// # Files
//
//	core.go     the session, the leases that are requested and held
//	acts.go     acts under a lease: allowed, ended, expired
//	puts.go     values written under a lease
//	calls.go    which command is sent to which server, and when
//	results.go  what an answer changes
//	client.go   the I/O: calls, hints, the goroutine that runs a Core
//	task.go     work that one process of the fleet does at a time
package lease
