// Package simulation plays a whole fleet of relays in virtual time: real decision modules, each with a seed of its own,
// among models of destinations and of an overbooked discovery service, on one thread and without a socket. A second of real
// time shows what so many processes can't show on one machine: what relays do together to a destination or to discovery.
//
// A Day is a scenario with the faults of a fleet. Play plays it, and has package checker judge it by what the stand-ins saw.
// The same day gives the same result each time.
//
// Files:
//
//	day.go             Day, its faults, and the bugs that tests plant
//	day_standard.go    days whose faults are the same whatever the seed
//	day_drawn.go       days whose sizes and faults are drawn from the seed
//	workload.go        the destinations and the traffic of a day, by the number of relays
//	event_queue.go     what is due, in the order of virtual time
//	fleet.go           the state of a fleet, and the run of a day
//	fault.go           what each kind of fault does
//	network.go         latency, partitions, and harm to attempts
//	client.go          submissions
//	destination.go     destinations: completions of attempts, connections that are reset
//	discovery.go       the discovery service
//	relay.go           the processes of a relay: start, kill, graceful shutdown
//	relay_batch.go     batches of events for the decision module, and its actions
//	relay_request.go   requests that a relay has accepted
//	relay_discovery.go a relay's endpoint list and watch
//	attempt.go         an attempt, from its connection to its end
//	planted_bug.go     what planted bugs do
//	history.go         the event log, and the checker's verdict
//	result.go          what a day came to
//	summary.go         means over several runs, and growth by the size of the fleet
package simulation
