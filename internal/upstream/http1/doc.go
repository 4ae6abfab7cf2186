// Package http1 makes attempts at endpoints over HTTP/1.1 (RFC 9110, RFC 9112).
//
// A [Pool] holds persistent connections, each of which carries one attempt at a time. An attempt
// takes an idle connection of its endpoint or dials one, writes the request, and reads the response
// within bounds of size and time. What the response means is a [upstream.Result].
//
// The pool is no http.Transport, for two reasons. A Transport sends a request that has an
// Idempotency-Key again by itself when a reused connection breaks, which is a second execution. And
// it does not report whether the last byte of the request had been written, which is what separates
// "not executed" from "outcome unknown".
//
// The states of a connection, and their transitions, are listed at connState in conn.go.
//
// Handover: [Pool.Quiesce] starts no attempt any more, detaches the connections on which a response
// is awaited, and returns the idle ones, so that a successor process can go on with both
// ([Pool.AwaitResponse], [Pool.Adopt]). [Pool.Resume] undoes it where the handover fails.
//
// Files:
//
//   - pool.go: the connections of all endpoints, within a capacity; dialing;
//   - conn.go: one connection, its state and its deadlines;
//   - exchange.go: one attempt: a request and its response on a connection;
//   - request.go: the request's form on the wire;
//   - response.go: reading a response within bounds, and classifying it; load report and wait;
//   - handover.go: quiesce, detach, adopt, resume.
package http1
