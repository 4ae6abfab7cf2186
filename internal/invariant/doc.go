// Package invariant checks at run time the invariants of every accepted request: an attempt is sent or
// repeated only if that is allowed, a terminal outcome is decided once and in time, a later process
// recovers only open requests, and each client gets its response.
//
// The checks are separate from the code that makes the decisions. They use only the journal's entry of a
// request and never the state of the decision module, so that a fault in that state can't also hide its
// own effects from the checks.
//
// A check that fails is a violation. The caller records it with Counts, which logs it under LogMessage
// with the request's id, and does not carry out the effect that was checked. A fault-injection run fails
// if this message was logged.
//
// # Files
//
//   - kind.go: the kinds of violation
//   - counts.go: counting and logging violations
//   - send.go: whether an attempt may be sent
//   - deadlines.go: requests without a terminal outcome at their deadline
//   - deadline_queue.go: the priority queue of deadlines
package invariant
