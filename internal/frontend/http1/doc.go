// Package http1 serves clients over HTTP/1.1 (RFC 9110, RFC 9112).
//
// A [Server] has one goroutine for each connection, which reads one request after another, has each decided on, and
// writes its response. A client is owed an answer or a close within 3 s of connecting, whatever it sends. Connections are
// bounded: where there is no room for a new one, the one that is missed least is evicted.
//
// The server is no http.Server, for two reasons. That one does not tell what lies behind a request: a Content-Length that
// is too short, or a second request. And it does not let connections make room for others by their state.
//
// The states of a connection, and their transitions, are listed at connState in conn.go.
//
// Handover: [Server.Quiesce] stops accepting, detaches the connections that have no request in flight, with what was read
// of a request that has begun, and waits for the others, so that a successor process can go on with them
// ([Server.Adopt]). [Server.Resume] undoes it where the handover fails.
//
// Files:
//
//   - server.go: configuration, accepting connections, their registration;
//   - conn.go: one connection, its state, what is read and written;
//   - serve.go: the loop of a connection, from one request to the next;
//   - request.go: one request: validation, body, submission;
//   - recorder.go: what was read of a request that has begun, for a handover;
//   - memory.go: the budget for bodies;
//   - evict.go: which connection makes room for another;
//   - drain.go: closing connections in standby and at shutdown;
//   - handover.go: quiesce, detach, adopt, resume;
//   - closereason.go: why connections are closed.
package http1
