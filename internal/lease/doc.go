// Package lease is the client's side of the coordination service (frostlink-coord). It decides whether this process may act
// under a lease now.
//
// Core makes the decisions. It has neither I/O nor a clock: its methods take the time on the boot-time clock, which advances
// while a machine is suspended. Client runs a Core, calls the service for it, and runs the fleet's tasks under leases.
//
// An act is an operation with an external effect that is allowed only while a lease is held.
//
// # Time
//
// A session is valid for its time to live, counted from the time when its last renewal was sent, not answered. The process
// shortens that time by a guard and by twice the fraction RateBound, since its own clock and the service's clock may each be
// too fast or too slow by that rate. So it stops acting before the service can grant its lease to another process, without
// comparing clocks.
//
// # What a lease does not promise
//
// A process may be suspended between Act and its system call until the lease is granted to another process. When it resumes,
// it acts although it does not hold the lease any more. So every task states what makes such a late act harmless (Guard): a
// resource that rejects older fencing tokens, or an idempotent act.
//
// # Files
//
//	core.go     the session, and the leases that are requested or held
//	acts.go     acts under a lease: allowing, ending and expiring them
//	puts.go     values written under a lease
//	calls.go    which command is sent to which server, and when
//	results.go  handling of results
//	client.go   the I/O: calls, hints, and the goroutine that runs a Core
//	task.go     work that only one process of the fleet does at a time
package lease
