// Package scenario reads fault-injection scenarios and draws what they leave to chance.
//
// A scenario is a TOML file. It states the relays and the limits of their machines, the destinations, the load and how clients
// behave, and which faults happen when. [Read] and [Parse] return a scenario with its defaults filled in, or an error that
// lists every mistake with file, line and key. [SoakScenario] writes the text of a scenario with random faults.
//
// The package does no I/O besides reading files, and keeps no clock. Random numbers come from [RandomStreams]: the seed, the
// name of a stream and the order of draws from it decide every number, so that one seed always gives the same run. None of
// the three may change.
//
// The keys of the file use the platform's words (partner, register, event ...), the code those of the field.
//
// # Files
//
//	scenario.go              Scenario, and what it states about relays and their surroundings
//	workload.go              Load, Class, Tenant and Clients: what is sent, and by whom
//	destination.go           Destination and Limit, with the rates that they allow
//	fault.go                 Fault
//	fault_kinds.go           the kinds of fault, and the keys that each takes
//	range.go                 Range: a number, or bounds between which one is drawn
//	syscalls.go              system calls and errors that faults name
//	read.go                  Read and Parse
//	defaults.go              values of keys that a file leaves out
//	validate.go              the checks of a whole scenario, and of its tables with one row
//	validate_workload.go     checks of classes, tenants and the dead-letter backlog
//	validate_destination.go  checks of destinations
//	validate_fault.go        checks of faults, key by key
//	validate_overlap.go      checks of faults against each other
//	validator.go             the checks that most values share
//	random.go                RandomStreams, and drawing by weight
//	arrival.go               the arrival rate and the destinations' shares of traffic over time
//	messages.go              Message and the drawing of messages
//	burst.go                 messages that arrive in bursts
//	quota.go                 token buckets of tenants' quotas
//	service_time.go          service times of attempts
//	reloadable_settings.go   settings that change while relays run
//	relay_settings.go        the settings object of a relay
//	soak.go                  SoakScenario: the text of a random scenario
//	soak_faults.go           the faults that a soak draws
package scenario
