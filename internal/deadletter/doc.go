// Package deadletter stores messages that were accepted and not delivered, and decides which of them may be sent
// again.
//
// A message in the store is a [Record]. Each time that it was accepted or redelivered is an [Incarnation], which lists the
// attempts made for it: the first one is the client's request, each further one a redelivery under a new id. What is known
// of an attempt's effect is its [Execution]; an attempt of which nothing is known may have been executed.
//
// Three decisions are pure functions of their arguments; they read neither the clock nor a file: whether a message may be
// sent again at all ([Allowed]), what the operator's rules do with it and when ([Decide]), and whether a newer message on
// the same [Topic] supersedes it ([Newest]). [Redeliverer] applies them to a [Store] at a bounded rate for each
// destination. Operators read and change a store through [Admin].
//
// # Files
//
// Decisions:
//
//   - record.go: a stored message, its incarnations and attempts
//   - permission.go: whether a message may be sent again, or only after an operator's [Attestation]
//   - rule.go, rule_hours.go: the operator's rules, and the hours of the day in which they apply
//   - plan.go: what the rules do with a message, and when to decide on it next
//   - subject.go, json_pointer.go, order.go: reading what a message is about and its order from a request
//   - newest.go: the newest message of each topic
//   - inflight.go: accepted messages that have not ended yet
//
// The store, one bbolt file:
//
//   - store.go: the file, its buckets and its version
//   - messages.go, checksum.go: writing and reading messages
//   - due.go: when to decide on a message next
//   - pages.go: listing messages
//   - totals.go: counts of what is stored
//   - removal.go: removing messages, and listing those that could not be stored
//   - bounds.go: limits on age, number and size
//   - verify.go: checking the whole file for damage
//   - subject_store.go, subject_buckets.go: the newest message of each topic, in the same file
//   - errors.go: the errors
//
// Redelivery:
//
//   - redelivery.go: which messages are offered to the relay, and when
//   - redelivery_result.go: recording their results
//   - throttle.go: the rate of each destination
//
// Access:
//
//   - section.go: the section of the operator's file
//   - admin.go, admin_error.go: the handler of operators' requests
//   - command.go, filter.go, dry_run.go: commands, filters, and what rules would do
//   - socket.go, client.go, handler_transport.go: reaching it over a Unix socket, or in the folder of a stopped relay
package deadletter
