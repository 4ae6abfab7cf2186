// Package scenario reads fault-injection scenarios and draws their random values, such as the messages that clients submit.
//
// A scenario is a TOML file. It defines the relays and the limits of their machines, the destinations, the load, the behaviour of
// clients, and the faults with their times. [Read] and [Parse] return a scenario with its default values filled in, or an error
// that lists every mistake with file, line and key. [SoakScenario] and [RestartSoakScenario] return the text of a scenario with
// random faults.
//
// The package does no I/O except for reading files, and uses no clock. The random numbers of a run come from [RandomStreams]: the seed,
// the name of a stream and the order of the draws from the stream determine every number, so that a run can be repeated with the same
// draws. The way in which a stream is derived from the seed, the names of streams and the order of draws must therefore not change.
// The same holds for the draws of [SoakScenario], [RestartSoakScenario] and [RedeliverySoakScenario], which each use one generator,
// seeded with the soak's seed.
//
// The keys of the file use the terms of the platform (partner, register, event), whereas the code uses destination, discovery and
// fault.
//
// # Files
//
//	scenario.go              Scenario, and its tables about relays, rules, discovery and the network
//	workload.go              Load, Class, Tenant and Clients: the messages and their senders
//	destination.go           Destination and Limit, and the rates that they admit
//	fault.go                 Fault
//	fault_kinds.go           the kinds of faults, and the keys that each of them takes
//	range.go                 Range: a number, or the bounds of a random number
//	syscalls.go              names of system calls and errors in faults
//	read.go                  Read and Parse
//	defaults.go              default values of keys that a file leaves out
//	validate.go              the checks of a whole scenario, and of the tables that occur once
//	validate_workload.go     checks of classes, tenants and the dead-letter backlog
//	validate_destination.go  checks of destinations
//	validate_fault.go        checks of faults, key by key
//	validate_overlap.go      checks of pairs of faults
//	validator.go             checks that many values share
//	random.go                RandomStreams, and weighted draws
//	arrival.go               the arrival rate and the destinations' shares of traffic over time
//	messages.go              Message, and drawing messages
//	burst.go                 messages that arrive in bursts
//	quota.go                 token buckets of tenants' quotas
//	service_time.go          service times of attempts
//	reloadable_settings.go   settings that change while relays run
//	relay_settings.go        the settings object of a relay
//	soak.go                  SoakScenario: the text of a random scenario
//	soak_faults.go           the random faults of a soak
//	soak_redeliveries.go     RedeliverySoakScenario: the text of a random scenario of redeliveries by rules
//	soak_restarts.go         RestartSoakScenario: the text of a random scenario of restarts
package scenario
