// Package coordsim simulates whole quorums of the coordination service, with their clients, in virtual time. Raft, the state machine
// of members and the lease client are the code that runs in production. The rest is simulated: a network that loses, delays,
// duplicates and reorders messages and has partitions; processes that are paused, and that crash at any time, also during a write;
// disks that are full, slow or rolled back; and clocks that drift apart.
//
// [Play] plays the run of a seed: a period with faults, then a quiet period, then the checks. A seed always plays the same run, so
// the order of random draws and of scheduled events must not change. Most checks do not depend on the state of the code under test:
// they use the executions, grants and replies that clients observed, with their true times.
//
// # Files
//
//	scheduler.go         events in virtual time
//	process.go           the common part of members and clients: incarnations, pauses, clocks
//	random.go            random draws
//	network.go           message delivery: loss, delay, duplicates, partitions
//	simulation.go        a run: its parts, and Play
//	draw.go              the parameters of a run, drawn from its seed
//	quiet.go             the quiet period at the end of a run
//	kind.go              the kinds of faults: names, weights and the functions that apply them
//	inject.go            injection of faults, and the faults of processes and disks
//	partition.go         network faults
//	rollback.go          rollback of a disk
//	replacement.go       replacement of a member
//	member.go            members: start, crash, time
//	member_round.go      the output of a member's core: writes, messages, completions
//	member_requests.go   commands and reads that a member serves
//	lease_client.go      clients that request leases
//	lease_execution.go   their executions under a lease
//	lease_calls.go       their calls to members, and the grants and queue positions in the results
//	value_client.go      clients that write and read values, or revoke leases
//	value_requests.go    their requests to members, with retries
//	check.go             violations, and all checks of a run
//	check_executions.go  executions under a lease
//	check_grants.go      tokens, and the order of waiting clients
//	check_values.go      linearizability of values
//	check_members.go     the state of members after the quiet period
package coordsim
