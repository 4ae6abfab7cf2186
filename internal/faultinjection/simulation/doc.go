// Package simulation runs a whole fleet of relays in virtual time: the relays' decision modules are the production code, each with
// a separate seed, and the destinations and a discovery service of limited capacity are models. A simulation runs on one thread and
// opens no socket. In a second of real time it shows the load that all relays of a fleet together put on a destination or on
// discovery. One machine could not show this load with as many relay processes.
//
// A Day is a scenario with faults that concern a fleet. Play runs it, and package checker judges it by the events that the
// models recorded. The same day gives the same result each time.
//
// Files:
//
//	day.go             Day, its faults, and the bugs that tests put into relays
//	day_standard.go    days with the same faults for every seed
//	day_drawn.go       days whose sizes and faults are drawn from the seed
//	workload.go        the destinations and the traffic of a day, sized by the number of relays
//	event_queue.go     scheduled calls, in the order of virtual time
//	fleet.go           the state of a fleet, and the run of a day
//	fault.go           the functions that apply the kinds of fault
//	network.go         latency, partitions, and attempts that lose their response or connection
//	client.go          submissions
//	destination.go     destinations: completions of attempts, connection resets
//	discovery.go       the discovery service
//	relay.go           the processes of a relay: start, kill, graceful shutdown
//	relay_batch.go     batches of events for the decision module, and its actions
//	relay_request.go   requests that a relay has accepted
//	relay_discovery.go a relay's endpoint list and watch
//	attempt.go         an attempt, from its connection to its end
//	connection.go      connections, their rest and reuse, and copies of responses
//	confirmation.go    whose response is received on a connection
//	early_end.go       messages that are over at their first attempt
//	planted_bug.go     the effects of planted bugs
//	history.go         the event log, and the checker's verdict
//	result.go          the result of a day
//	summary.go         means over several runs, and growth with the size of the fleet
package simulation
