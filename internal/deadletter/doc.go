// Package deadletter stores messages that were accepted and not delivered, and decides which of them may be sent
// again.
//
// A message in the store is a [Record]. Each time that it was sent, with the attempts made for it, is an
// [Incarnation]: the first one is the client's request, each further one a redelivery under a new id. What is known of
// an attempt's effect is its [Execution]; an attempt of which nothing is known may have run.
//
// Three decisions are pure functions of their arguments; they read neither the clock nor a file:
//
//   - permission.go: whether a message may be sent again at all, or only after an operator's [Attestation].
//   - rule.go, plan.go: what the operator's rules want done with it, and when to look at it next.
//   - newest.go, order.go: whether a newer message on the same [Topic] supersedes it.
//
// [Redeliverer] (redelivery.go, redelivery_result.go, throttle.go) applies them to a store at a bounded rate for each
// destination. [Store] (store.go, messages.go, due.go, bounds.go, removal.go, totals.go) keeps the records in one
// bbolt file, whose buckets store.go lists; subject_store.go and subject_buckets.go keep what Newest knows in the
// same file. verify.go checks the file as a whole, checksum.go each record.
//
// Operators read and change a store through [Admin] (admin.go, access over a Unix socket: socket.go, client.go) or,
// of a stopped relay, through the same handler without a socket (handler_transport.go).
package deadletter
