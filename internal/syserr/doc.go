// Package syserr classifies the errors of system calls by their cause: a mistake, a shortage on this
// machine, or the other side.
//
// Callers branch on the class and on no errno of their own, so that an error means the same everywhere.
// What a Local error calls for is an attempt again after a Backoff; a Peer error is a fault of the
// connection's other side; a Fatal one is reported, and the call is not repeated.
//
// The tables follow the manual pages accept(2), socket(2), bind(2), connect(2), read(2), write(2),
// fsync(2), open(2) and rename(2).
//
// # Files
//
//   - classify.go: operations, classes, the tables
//   - backoff.go: the backoff before a call is repeated
package syserr
