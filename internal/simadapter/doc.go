// Package simadapter runs the decisions of package policy on the simulator's protocol. It translates, and decides nothing.
//
// # Protocol
//
// One process plays many instances of the relay. It reads batches from standard input and writes a reply to each to standard output. A
// line is a JSON array: a message's name, then its values by position, null or absent where there is none. Times are seconds. Unknown
// messages are ignored.
//
// A batch is a "round", messages in the order in which they happened, and "your_turn":
//
//	["round", clock]
//	["manifest", list, [entry...]]                             a numbered endpoint list of the process; replaces the last of that number
//	["begin", instance, seed, settings]                        an instance starts
//	["killed", instance]                                       it ends, and all it knew is void
//	["update", instance, scope, version, list]                 its endpoint list is a manifest, or changes by one; or its watch failed
//	["call", instance, id, write, tenant, redelivery, retry,   a request
//	    cost, time_left, order_key, class, destination]
//	["answer", instance, id, endpoint, attempt, outcome,       an attempt has ended
//	    retry_after_ms, latency, final, load_report]
//	["left", instance, id]                                     a request's client has withdrawn
//	["wakeup", instance, label]                                a timer has fired
//	["your_turn"]
//
// An entry of a manifest is [kind, destination, endpoint, weight, state, zone, listed_at]; state is "in_service", "terminating"
// (draining) or "terminated" (removed). The scope of an update is "SAVED" or "FULL" (the whole list), "INCREMENTAL" (changes) or
// "FAILED" (no list). A load report is an object; x0 and x1 are what is left of the rate limit, and the limit.
//
// A reply is the actions of the instances that had events, in the order of their first event, and "ready":
//
//	["relay", instance, id, endpoint, timeout]                 send an attempt
//	["refuse", instance, id, retry_after]                      reject a request: it may be submitted again
//	["report_failure", instance, id]                           fail a request
//	["abort_attempt", instance, id, attempt]                   cancel an attempt
//	["shut_idle", instance, endpoint]                          close idle connections to an endpoint
//	["remind", instance, delay, label]                         set a timer; the label is always 0
//	["subscribe", instance, on]                                ask for a watch of the endpoint list
//	["die", instance, text]                                    the instance has failed: settings that can't be used, or a panic
//	["ready"]
//
// The messages first_byte, pong and peer_data, and the replies fetch, poll, announce and debug, are not used.
//
// # Files
//
//	serve.go    Serve: batches in, replies out
//	session.go  the instances, endpoint lists and the batch that is being read
//	events.go   messages translated into the policy's events
//	reply.go    the policy's actions translated into a reply
//	fields.go   the values of a line by position
package simadapter
