// Package syserr classifies the errors of system calls by their cause: a mistake of the program or its
// configuration, a temporary error of this machine such as a shortage, or the peer.
//
// Callers branch on the class and not on an errno, so that an error is treated the same everywhere. A
// call that fails with a Local error is retried after a Backoff. A Peer error counts as a fault of the
// peer. A Fatal error is reported, and the call is not retried.
//
// The tables follow the manual pages accept(2), socket(2), bind(2), connect(2), read(2), write(2),
// fsync(2), open(2) and rename(2).
//
// # Files
//
//   - classify.go: operations, classes, the tables
//   - backoff.go: the backoff before a call is retried
package syserr
