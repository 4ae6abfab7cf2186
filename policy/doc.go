// Package policy decides what a relay does with the messages that it forwards: which it admits,
// when and to which endpoint it sends them, when it retries, and what it tells the client in the
// end.
//
// # Use
//
// A Dispatcher is a state machine without I/O and clock. Its caller collects events, hands a batch
// of them with the time to Handle, and carries out the returned actions in order. The same events
// with the same seed give the same actions.
//
// # Mechanism
//
// The ordinary path is Hyytiä's deadline-aware admission control and dispatching for parallel
// first-come, first-served queues. Each destination, or each separate route of one, is a queue. A
// message is rejected at once where the backlog of its queue plus its own latency would make it
// late (the basic admission policy), or where a lower bound of the value function says that
// admitting it is expected to cost another message its deadline. The bound needs the rate at which
// the basic policy would reject; as the paper suggests, a shadow queue under that policy gets the
// same arrivals to measure it. A message with a choice of separate routes takes the one with the
// least added cost.
//
// The source is ../given/docs/PAPER-minimizing-deadline-misses-adm-2867.md, beside the repository.
// Its symbols are explained where its formulas stand: mustReject in admission.go, routeCost in
// route_selection.go.
//
// Everything else guards against what the paper does not treat: destinations with rate limits,
// failures and outages, answers that never come, messages that must not execute twice or out of
// order, and many relays that share a destination without talking to each other.
//
// # Terms
//
// A relay is one of the processes that share the traffic. A destination has endpoints; an endpoint
// is one address that takes calls. A message is sent by attempts. A call carries one attempt, or a
// batch of attempts of several messages, to an endpoint. A slot is one of the MaxInFlight calls
// that may be in flight. A message that may have executed is retried only as its idempotency
// allows.
//
// # Files
//
// Interface:
//
//   - settings.go: the configuration and its validation
//   - class.go: classes of messages, and the value of a message by its age
//   - events.go: the closed set of events
//   - actions.go: the closed set of actions
//   - dispatcher.go: the state of a Dispatcher, New, and the steps of Handle
//   - snapshot.go: what is carried over to the process that takes the place of this one
//
// State:
//
//   - destination.go, queue.go: destinations and their queues
//   - endpoint.go: endpoints and the states of their health
//   - message.go: messages and attempts and their states
//   - latency.go: mean latencies
//   - token_bucket.go: token buckets
//   - decaying_counter.go: arrival and rejection rates
//
// Decisions on messages:
//
//   - admission.go: reject or queue an arriving message, the paper's rule
//   - background.go: the same for messages that only use spare capacity
//   - route_selection.go: the queue of a message among separate routes
//   - dispatch.go: which queue and message get a free slot
//   - order.go: messages with one order key, one at a time
//   - endpoint_selection.go: the endpoint of a call
//   - trial_request.go: which messages try unhealthy endpoints, and when
//   - timeout.go: how long an answer is waited for
//   - attempt_outcome.go: what is learned from the outcome of an attempt
//   - retry.go: whether a message may be sent again
//   - stuck_attempts.go: cancel calls that are in flight for too long
//   - cancel_before_send.go: cancel attempts that have not left yet
//   - terminal.go: the terminal outcome of a message, and its end here
//
// Decisions on destinations:
//
//   - rate_control.go: this relay's send rate
//   - load_report.go: rate limits that destinations report
//   - rejection.go: backoff after rejections
//   - outlier.go: when an endpoint counts as unhealthy
//   - slow_start.go: how many trial requests there are, and slow start after an outage
//   - idle_connections.go: which idle connections are closed or reused
//   - endpoint_list.go: changes of the endpoint list
//   - endpoint_watch.go: watches of the endpoint list
//
// Other:
//
//   - recovery.go: messages and endpoint health from an earlier process of this relay
//   - settings_change.go: new settings while messages are under way
//   - timer.go: when the next timer is due
package policy
