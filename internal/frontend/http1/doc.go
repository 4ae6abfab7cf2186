// Package http1 serves clients over HTTP/1.1 (RFC 9110, RFC 9112).
//
// A [Server] has one goroutine for each connection, which reads one request after another, has each
// decided on, and writes its response. A client is owed an answer or a close within 3 s of
// connecting, whatever it sends. Connections are bounded: at the bound, the one that its client
// needs least is evicted for a new one.
//
// The server is no http.Server, for two reasons. It does not show what follows a request: the rest
// of a body whose Content-Length is too short, or a second request. And it does not evict
// connections by their state.
//
// The states of a connection, and their transitions, are listed at connState in conn.go.
//
// Handover: [Server.Quiesce] stops accepting, detaches the connections that have no request in
// flight, with what was read of a request that has begun, and waits for the others, so that a
// successor process can go on with them ([Server.Adopt]). [Server.Resume] undoes it where the
// handover fails.
//
// Files:
//
//   - server.go: configuration, accepting connections, their registration;
//   - conn.go: one connection, its state, what is read and written;
//   - serve.go: the loop of a connection, from one request to the next;
//   - request.go: one request: validation, body, submission;
//   - recorder.go: what was read of a request that has begun, for a handover;
//   - memory.go: the budget for bodies;
//   - evict.go: which connection is evicted for another;
//   - drain.go: closing connections in standby and at shutdown;
//   - handover.go: quiesce, detach, adopt, resume;
//   - closereason.go: why connections are closed.
package http1
