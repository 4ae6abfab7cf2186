// Package simadapter connects package policy to the simulator: it translates the simulator's protocol into the policy's events, and the
// policy's actions into replies. It makes no decisions itself.
//
// # Protocol
//
// One process runs many instances of the relay. It reads batches from standard input and writes a reply to each batch to standard output.
// Each line is a JSON array: a message's name, then its values by position. A missing value is null or absent. Times are in seconds.
// Unknown messages are ignored.
//
// A batch is a "round" line, any number of messages in chronological order, and a "your_turn" line:
//
//	["round", clock]
//	["manifest", list, [entry...]]                             an endpoint list for all instances; replaces an earlier list of that number
//	["begin", instance, seed, settings]                        an instance starts
//	["killed", instance]                                       an instance is killed and loses its state
//	["update", instance, scope, version, list]                 a manifest replaces or changes its endpoint list, or its watch failed
//	["call", instance, id, write, tenant, redelivery, retry,   a request
//	    cost, time_left, order_key, class, destination]
//	["answer", instance, id, endpoint, attempt, outcome,       an attempt has ended
//	    retry_after_ms, latency, final, load_report]
//	["left", instance, id]                                     a client has withdrawn its request
//	["wakeup", instance, label]                                a timer has fired
//	["your_turn"]
//
// An entry of a manifest is [kind, destination, endpoint, weight, state, zone, listed_at]; state is "in_service", "terminating"
// (draining) or "terminated" (removed). The scope of an update is "SAVED" or "FULL" (the whole list), "INCREMENTAL" (changes) or
// "FAILED" (no list). A load report is an object with the remaining part of the rate limit as x0 and the rate limit as x1.
//
// A reply is the actions of the instances that had events, ordered by each instance's first event in the batch, and a "ready" line:
//
//	["relay", instance, id, endpoint, timeout]                 send an attempt
//	["refuse", instance, id, retry_after]                      reject a request: it may be submitted again
//	["report_failure", instance, id]                           fail a request
//	["abort_attempt", instance, id, attempt]                   cancel an attempt
//	["shut_idle", instance, endpoint]                          close idle connections to an endpoint
//	["remind", instance, delay, label]                         set a timer; the label is always 0
//	["subscribe", instance, on]                                request a watch of the endpoint list
//	["die", instance, text]                                    the instance has failed: invalid settings, or a panic
//	["ready"]
//
// The messages first_byte, pong and peer_data, and the replies fetch, poll, announce and debug, are not used.
//
// # Files
//
//	serve.go    Serve: reads batches and writes replies
//	session.go  the state of a process: instances, endpoint lists and the current batch
//	events.go   translates messages into the policy's events
//	reply.go    translates the policy's actions into a reply
//	fields.go   decodes the values of a line by position
package simadapter
