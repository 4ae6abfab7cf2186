// Package relay runs the decisions of package policy as a relay on sockets: clients submit requests over HTTP, endpoints
// of their destinations get them over HTTP, and what was accepted outlasts the process in a journal.
//
// # The event loop
//
// One goroutine, loop.run, owns the dispatcher (package policy), the journal and all requests. Other goroutines send it
// events (events.go): the frontend, the attempts, the watch on discovery, the notifier, the dead-letter writer, the node.
// The loop collects the events of a few milliseconds into a batch, has the dispatcher decide on it, and commits it:
//
//	events -> dispatcher -> actions -> journal records -> effects
//
// The rule of loop.commit (commit.go): no effect that a later process must know of leaves before its record is durable.
// A response 202, the first byte of an attempt and a terminal outcome are such effects. What needs no record, as a
// rejection or the cancellation of an attempt, is done at the end of the batch even while the folder takes no writes.
//
// # The lifecycle of a request
//
// A request is in one of five states (request_state.go has the table; a test holds it against this one):
//
//	candidate       -> accepted         admitted by the dispatcher; its record is part of the batch
//	candidate       -> evicted          rejected, or a redelivery that was returned to the store
//	accepted        -> outcome decided  failed, or delivered or withdrawn where the dead-letter store records that
//	accepted        -> evicted          delivered or withdrawn and nobody is owed anything, or its record was not written
//	outcome decided -> notified         the platform has its notice, the dead-letter store does not have the request yet
//	outcome decided -> evicted          all that are owed its outcome have it
//	notified        -> evicted          the dead-letter store has it as well
//
// What may be true in several states is a field of its own: an attempt may be in flight from "accepted" on, and may still
// be when the outcome is decided; the dead-letter store may have a request before the platform has its notice. An evicted
// request stays in memory until its attempt has ended.
//
// # Subsystems
//
// A part of the relay that follows requests implements the interface subsystem (subsystem.go): it sends the loop events,
// is called by the loop at fixed points of a request's life, and acts through the loop's effects, which the commit runs.
// deadLetterLink, the loop's side of the dead-letter store, is the only one so far.
//
// # Processes
//
// Run (node.go) is one process's relay: it becomes the owner of the folder, from the journal alone or by a hand-over from
// a predecessor (package handover), serves, and ends in a graceful shutdown or a hand-over to a successor.
//
// # Files
//
//	loop.go                 the event loop: batches, and the dispatcher's actions
//	events.go               the events
//	subsystem.go            the seam between the loop and subsystems
//	request.go              what the loop holds of a request
//	request_state.go        the states of a request and their transitions
//	submission.go           requests as clients submit them
//	admission.go            what becomes of the candidates of a batch
//	attempt.go              attempts at endpoints
//	terminal_outcome.go     how requests end, and to whom that is published
//	commit.go               records, then effects; the state of the folder
//	effects.go              the effects of a batch
//	endpoints.go            the list of endpoints
//	recovery.go             the start from the journal
//	invariants.go           checks at run time, and requests whose outcome is overdue
//	timer.go                when the loop wakes up
//	tracing.go              the relay's trace
//	reload.go               new settings while the relay runs
//	missing_key.go          guard against configuration files of which a part was lost
//	deadletter_link.go      the loop's side of the dead-letter store
//	deadletter_events.go    the events of the dead-letter writer
//	deadletter_record.go    the store's record of a request
//	deadletter_writer.go    the goroutine that writes to the store
//	deadletter_queue.go     what waits for that goroutine
//	deadletter_batch.go     how that goroutine writes a batch
//	redelivery.go           redeliveries in the loop
//	redelivery_rules.go     which requests are offered for redelivery, and when
//	node.go                 one process's relay
//	assemble.go             the wiring of its parts
//	listener.go             the clients' listening socket
//	admin.go                the admin endpoint
//	shutdown.go             graceful shutdown
//	handover.go             the form in which state is handed over
//	handover_predecessor.go handing over to a successor
//	handover_successor.go   starting, alone or from a predecessor
//	config.go               the platform's configuration file
//	config_check.go         its checks
//	config_error.go         what they report
//	resource_limits.go      how descriptors, memory and disk are shared out
package relay
