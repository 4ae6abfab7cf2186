// Package invariant checks at run time what has to hold of every accepted request: whether an attempt
// may be sent or repeated, whether a terminal outcome is decided once and in time, whether a later
// process recovers only open requests, and whether each client gets its response.
//
// The checks are apart from the code that decides. They rest on the journal's entry alone, never on the
// decision module's state, against a fault there that hides itself.
//
// A check that fails is a violation. Its caller records it with Counts, which logs it under LogMessage
// with the request's id, and does not carry out the effect that was asked for. The fault injection fails
// a run in which that message was logged.
//
// # Files
//
//   - kind.go: the kinds of violation
//   - counts.go: counting and logging violations
//   - send.go: whether an attempt may be sent
//   - deadlines.go: requests without a terminal outcome at their deadline
//   - deadline_queue.go: the priority queue behind that
package invariant
