// Package coordsim simulates whole quorums of the coordination service in virtual time. The cores are those that run in
// production: raft and the state machine of members, and the lease client. Around them are a network that loses, delays,
// duplicates and reorders messages and is partitioned, processes that are paused and crash at every write, disks that are full,
// slow or rolled back, and clocks that drift apart.
//
// [Play] plays the run of a seed: a time with faults, then a quiet period, then checks. One seed always plays the same run, so the
// order of random draws and of scheduled events must stay. The checks know nothing of the cores: they see executions, grants and
// answers in true time.
//
// # Files
//
//	scheduler.go         events in virtual time
//	process.go           what members and clients have in common: incarnations, pauses, clocks
//	random.go            random draws
//	network.go           messages: loss, delay, duplicates, partitions
//	simulation.go        a run: its parts, and Play
//	draw.go              the parameters of a run, drawn from its seed
//	quiet.go             the quiet period at the end of a run
//	kind.go              the kinds of faults: names, weights and the functions that apply them
//	inject.go            faults drawn and applied
//	partition.go         faults of the network
//	rollback.go          a disk that is rolled back
//	replacement.go       a member that is replaced
//	member.go            members: start, crash, time
//	member_round.go      the work of a member's core: writes, messages, completions
//	member_requests.go   commands and reads that a member serves
//	lease_client.go      clients that want leases
//	lease_execution.go   what they execute under a lease
//	lease_calls.go       their calls to members, and what answers say
//	value_client.go      clients that write and read values, or revoke leases
//	value_requests.go    their requests to members, with retries
//	check.go             violations, and all checks of a run
//	check_executions.go  executions under a lease
//	check_grants.go      tokens, and the order of waiting clients
//	check_values.go      linearizability of values
//	check_members.go     the state of members after the quiet period
package coordsim
