// Package relay carries out the decisions of package policy on sockets: clients submit requests over HTTP, the relay sends
// them over HTTP to endpoints of their destinations, and a journal keeps accepted requests beyond the end of the process.
//
// # The event loop
//
// One goroutine, loop.run, owns the dispatcher (package policy), the journal and all requests. Other goroutines send it
// events (events.go): the frontend, the attempts, the watch on discovery, the notifier, the dead-letter writer, the node.
// The loop collects the events of a few milliseconds into a batch, passes it to the dispatcher, and commits the result:
//
//	events -> dispatcher -> actions -> journal records -> effects
//
// The rule of loop.commit (commit.go): an effect that a later process must be able to find in the journal happens only
// after its record is durable. A response 202, the first byte of an attempt and a terminal outcome are such effects. An
// effect that needs no record, such as a rejection or the cancellation of an attempt, is carried out at the end of the
// batch even while the folder can't be written.
//
// # The lifecycle of a request
//
// A request is in one of five states (request_state.go has the table; a test compares it with this one):
//
//	candidate       -> accepted         the dispatcher admitted it; its record is part of the batch
//	candidate       -> evicted          it was rejected, or is a redelivery that was returned to the store
//	accepted        -> outcome decided  it failed, or it was delivered or withdrawn and the dead-letter store records that
//	accepted        -> evicted          it was delivered or withdrawn and nothing else needs the outcome, or its record was not written
//	outcome decided -> notified         the platform acknowledged the notice; the dead-letter store has not stored the request yet
//	outcome decided -> evicted          the platform and the dead-letter store have the outcome, as far as they need it
//	notified        -> evicted          the dead-letter store has stored it as well
//
// Facts that can hold in several states have fields of their own: an attempt may be in flight from "accepted" on, and may
// still be in flight when the outcome is decided; the dead-letter store may have stored a request before the platform
// acknowledges the notice. An evicted request stays in memory until its attempt has ended.
//
// # Subsystems
//
// A part of the relay that tracks requests implements the interface subsystem (subsystem.go): it sends events to the loop,
// the loop calls it at fixed points of a request's lifecycle, and it acts through the loop's effects, which the commit runs.
// deadLetterLink, the loop's side of the dead-letter store, is the only subsystem.
//
// # Processes
//
// Run (node.go) runs the relay of one process: it takes ownership of the folder, from the journal alone or by a hand-over
// from a predecessor (package handover), serves, and ends with a graceful shutdown or a hand-over to a successor.
//
// # Files
//
//	loop.go                 the event loop: batches, and the dispatcher's actions
//	events.go               the events
//	subsystem.go            the interface between the loop and subsystems
//	request.go              the loop's state of a request
//	request_state.go        the states of a request and their transitions
//	submission.go           submissions of clients
//	admission.go            acceptance and rejection of a batch's candidates
//	attempt.go              attempts at endpoints
//	terminal_outcome.go     terminal outcomes and their publication
//	commit.go               the commit of a batch: records, then effects; the state of the folder
//	effects.go              the effects of a batch
//	endpoints.go            the list of endpoints
//	endpoint_limit.go       how many endpoints there is memory for
//	recovery.go             the start from the journal
//	invariants.go           run-time checks, and requests whose outcome is overdue
//	timer.go                when the loop wakes up
//	tracing.go              the loop's trace events
//	reload.go               new settings while the relay runs
//	missing_key.go          the check that a reloaded configuration lacks no key of the running configuration
//	deadletter_link.go      the loop's side of the dead-letter store
//	deadletter_events.go    the events of the dead-letter writer
//	deadletter_record.go    the store's record of a request
//	deadletter_writer.go    the goroutine that writes to the store and offers redeliveries
//	deadletter_queue.go     that goroutine's queue
//	deadletter_batch.go     that goroutine's writes of a batch
//	redelivery.go           redeliveries, on the loop's side
//	redelivery_rules.go     which requests are offered for redelivery, and when
//	node.go                 one process's relay
//	assemble.go             the creation and start of the relay's parts
//	listener.go             the clients' listening socket
//	admin.go                the admin endpoint
//	shutdown.go             graceful shutdown
//	handover.go             the state that a hand-over transfers, and its use in the loop
//	handover_predecessor.go handing over to a successor
//	handover_successor.go   starting, alone or from a predecessor
//	config.go               the platform's configuration file
//	config_check.go         validation of that file
//	config_error.go         errors in that file
//	resource_limits.go      the division of descriptors, memory and disk
//	resources.go            the use of connections and memory, as metrics
package relay
