// Package http1 makes attempts at endpoints over HTTP/1.1 (RFC 9110, RFC 9112).
//
// A [Pool] holds persistent connections, each of which carries one attempt at a time. An attempt
// takes an idle connection to its endpoint or dials one, writes the request, and reads the response
// within limits on size and time. The response is classified as an [upstream.Result].
//
// The pool does not use net/http's Transport, for two reasons. When a reused connection breaks, a
// Transport resends a request that has an Idempotency-Key, which may execute it a second time. And
// it does not report whether the last byte of the request was written, which distinguishes "not
// executed" from "outcome unknown".
//
// The states of a connection, and their transitions, are listed at connState in conn.go.
//
// Hand-over: [Pool.Quiesce] lets no new attempt start, detaches the connections on which a response
// is awaited, and returns the idle ones, so that a successor process can use both
// ([Pool.AwaitResponse], [Pool.Adopt]). [Pool.Resume] undoes Quiesce if the hand-over fails.
//
// Files:
//
//   - pool.go: the connections of all endpoints, within a capacity; dialing;
//   - conn.go: one connection, its states and its deadlines;
//   - acquire.go: a connection for an attempt: one that has rested, or a new one;
//   - ownership.go: which request a response belongs to;
//   - confirmation.go: the wait for what follows a response that may belong to an earlier request;
//   - exchange.go: one attempt: a request and its response on a connection;
//   - request.go: encoding of requests;
//   - head_limiter.go: the bound on the lines of a response's head;
//   - response.go: reading and classifying responses, their load reports and requested waits;
//   - handover.go: quiesce, detach, adopt, resume.
package http1
