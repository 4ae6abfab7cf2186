// Package faults injects faults into real processes: it kills and suspends them, makes their system calls fail, steps their
// wall clocks, and puts proxies between them that delay, partition and reset connections.
//
// [Run] applies all of these faults to the coordination service: its members and the relays run as processes with a proxy on every
// link, and the schedule of faults is drawn from a seed. The relays compete for one lease, and the lease holder sends requests to a
// stand-in, the [Resource], which records all requests on one clock. [CheckExecutions] checks only these records, independently of
// the processes.
//
// # Files
//
//	launcher.go          Launcher, which starts processes that the kernel kills when the harness ends
//	process.go           one process: start, kill, suspend, full disk
//	loopback.go          loopback addresses reserved for one run
//	proxy.go             proxies that delay, partition and reset connections
//	response_copies.go   responses that proxies write twice
//	preload.go           libraries that are preloaded into a process
//	syscalls.go          system calls that fail
//	wallclock.go         wall clocks that are stepped
//	kind.go              the kinds of faults: names, weights and the functions that apply them
//	schedule.go          a schedule of faults, drawn from a seed
//	inject.go            the application of each kind of fault
//	harness.go           the harness of a run: its parts and their shutdown
//	recorder.go          the recorder of injected faults, pauses and violations
//	members.go           members of the service in the harness
//	relays.go            relays in the harness, and their configuration
//	resource.go          the resource, and the executions that it records
//	executions_check.go  the checks of the recorded executions
//	lateness.go          the lateness of the harness's own timers
//	run.go               a run from its start to its result
//	verdict.go           the result of a run
package faults
