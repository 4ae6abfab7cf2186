// Package deadletter stores messages that were accepted and not delivered, and decides which of them may be sent
// again.
//
// A message in the store is a [Record]. Its first [Incarnation] is the request that the client submitted, and each
// redelivery adds another under a new id. An incarnation lists its attempts. [Execution] says whether the destination
// executed an attempt; an attempt without that information may have been executed.
//
// Three decisions are pure functions of their arguments; they read neither the clock nor a file: whether a message may be
// sent again at all ([Allowed]), what the operator's rules do with the message and when ([Decide]), and whether a newer
// message of the same [Topic] supersedes it ([Newest]). [Redeliverer] applies these decisions to a [Store] and limits the
// rate of redeliveries to each destination. Operators read and change a store through [Admin].
//
// # Files
//
// Decisions:
//
//   - record.go: a stored message, its incarnations and attempts
//   - permission.go: whether a message may be sent again, or only after an operator's [Attestation]
//   - rule.go, rule_hours.go: the operator's rules, and the hours of the day in which they apply
//   - plan.go: what the rules do with a message, and when they are next applied to it
//   - subject.go, json_pointer.go, order.go: reading the subject and the order of a message from its request
//   - newest.go: the newest message of each topic
//   - inflight.go: accepted messages without a terminal outcome
//
// The store, one bbolt file:
//
//   - store.go: the file, its buckets and its version
//   - messages.go, checksum.go: writing and reading messages
//   - due.go: the index of the times at which messages are due for a decision
//   - pages.go: listing messages
//   - resident.go: releasing the memory of pages that were read
//   - totals.go: counts of stored, removed, dropped and rejected messages
//   - removal.go: removing messages, and the list of messages that could not be stored
//   - bounds.go: limits on age, number and size
//   - verify.go: checking the whole file for damage
//   - subject_store.go, subject_buckets.go: the newest message of each topic, in the same file
//   - errors.go: the errors
//
// Redelivery:
//
//   - redelivery.go: which messages are offered to the relay, and when
//   - redelivery_result.go: recording the results of redeliveries
//   - throttle.go: the rate of redeliveries to each destination
//
// Access:
//
//   - section.go: the section [undelivered] of the operator's file
//   - admin.go, admin_error.go: the HTTP handler of operators' requests
//   - command.go, filter.go, dry_run.go: commands on messages, filters, and dry runs of rules
//   - socket.go, client.go, handler_transport.go: access over a Unix socket, or to the folder of a stopped relay
package deadletter
