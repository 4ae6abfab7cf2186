// Package faults injects faults into real processes: it kills and suspends them, makes their system calls fail, steps their
// wall clocks, and puts proxies between them that delay, partition and reset connections.
//
// [Run] uses all of it on the coordination service: members and relays run as processes with a proxy on every link. The faults
// are drawn from a seed. The relays compete for one lease, and its holder sends requests to a stand-in, the [Resource], which
// records each of them on one clock. [CheckExecutions] judges that record alone, and knows nothing of the processes.
//
// # Files
//
//	launcher.go          processes that the kernel kills when their launcher ends
//	process.go           one process: start, kill, suspend, full disk
//	loopback.go          loopback addresses reserved for one run
//	proxy.go             proxies that delay, partition and reset connections
//	preload.go           libraries that are preloaded into a process
//	syscalls.go          system calls that fail
//	wallclock.go         wall clocks that are stepped
//	kind.go              the kinds of faults: names, weights and the functions that apply them
//	schedule.go          a schedule of faults, drawn from a seed
//	inject.go            each kind of fault applied
//	harness.go           the harness of a run, and its end
//	recorder.go          what happens in a run, recorded
//	members.go           members of the service in the harness
//	relays.go            relays in the harness, and their configuration
//	resource.go          the resource, and the executions that it records
//	executions_check.go  what must hold of the executions
//	lateness.go          how late the harness itself is
//	run.go               a run from its start to its result
//	verdict.go           the result of a run
package faults
