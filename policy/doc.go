// Package policy decides what a relay does with the messages that it forwards: which messages it
// admits, when and to which endpoint it sends them, when it retries, and which terminal outcome it
// reports to the client.
//
// # Use
//
// A Dispatcher is a state machine that does no I/O and reads no clock. Its caller collects events,
// passes a batch of them and the current time to Handle, and carries out the returned actions in
// order. The same events with the same seed give the same actions.
//
// # Mechanism
//
// The core is Hyytiä's deadline-aware admission control and dispatching for parallel first-come,
// first-served queues. Each destination, or each separate route of a destination, is a queue. A
// message is rejected on arrival if the backlog of its queue plus its own latency would make it
// late (the basic admission policy), or if a lower bound of the value function shows that admitting
// the message is expected to make another message miss its deadline. The bound depends on the rate
// at which the basic policy would reject. As the paper suggests, that rate is measured on a shadow
// queue, which gets the same arrivals and admits by the basic policy alone. A message that can go
// by several separate routes takes the route with the least added cost.
//
// The source is ../given/docs/PAPER-minimizing-deadline-misses-adm-2867.md, outside the repository,
// in the directory beside it. The paper's symbols are explained at the functions that implement its
// formulas: mustReject in admission.go and routeCost in route_selection.go.
//
// The rest of the package handles what the paper does not cover: destinations with rate limits,
// failures and outages, answers that never arrive, messages that must not execute twice or out of
// order, and many relays that share a destination without communicating with each other.
//
// # Terms
//
// A relay is one of the processes that share the traffic. A destination has endpoints; an endpoint
// is one address that accepts calls. An attempt is one sending of a message to an endpoint. A call
// to an endpoint carries one attempt, or a batch of attempts of different messages. At most
// MaxInFlight calls are in flight at once, and each of them occupies a slot. A message that may
// have executed is retried only if its idempotency allows a second execution.
//
// # Files
//
// Interface:
//
//   - settings.go: the configuration and its validation
//   - class.go: message classes, and the value of a message as a function of its age
//   - events.go: the closed set of events
//   - actions.go: the closed set of actions
//   - dispatcher.go: the state of a Dispatcher, New, and the steps of Handle
//   - snapshot.go: the state that this process hands over to its successor
//
// State:
//
//   - destination.go, queue.go: destinations and their queues
//   - endpoint.go: endpoints and their health states
//   - message.go: messages, attempts and their states
//   - latency.go: mean latencies
//   - token_bucket.go: token buckets
//   - decaying_counter.go: arrival and rejection rates
//
// Decisions on messages:
//
//   - admission.go: whether an arriving message is rejected or queued, by the paper's rule
//   - background.go: admission of background messages, which use spare capacity only
//   - route_selection.go: which of several separate routes a message takes
//   - dispatch.go: which queue and message get a free slot
//   - order.go: messages with the same order key are sent one at a time
//   - endpoint_selection.go: the endpoint of a call
//   - trial_request.go: which messages are sent to unhealthy endpoints as trial requests, and when
//   - timeout.go: the timeout of an attempt
//   - attempt_outcome.go: state updates after the outcome of an attempt
//   - retry.go: whether a message may be sent again
//   - response.go: what a response means for its message, and what it forbids if it may belong to another one
//   - response_ownership.go: when a connection may be used again, and which request a response belongs to
//   - stuck_attempts.go: cancellation of calls that are in flight for too long
//   - cancel_before_send.go: cancellation of attempts that have not sent a byte
//   - terminal.go: the terminal outcome of a message, and its eviction
//
// Decisions on destinations:
//
//   - rate_control.go: this relay's send rate
//   - load_report.go: rate limits that destinations report
//   - rejection.go: backoff after rejections
//   - outlier.go: when an endpoint becomes unhealthy
//   - slow_start.go: the rate of trial requests, and slow start after an outage
//   - idle_connections.go: which connections are closed or reused after a call
//   - endpoint_list.go: changes of the endpoint list
//   - endpoint_watch.go: watches of the endpoint list
//
// Other:
//
//   - recovery.go: messages and endpoint health recovered from an earlier process of this relay
//   - settings_change.go: new settings while messages are unfinished
//   - timer.go: when the next timer is due
package policy
