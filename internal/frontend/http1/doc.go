// Package http1 serves clients over HTTP/1.1 (RFC 9110, RFC 9112).
//
// A [Server] runs one goroutine for each connection. It reads one request after another, submits
// each for a decision, and writes the response. Whatever a client sends, it must get a response or a
// close within 3 s of connecting. The number of connections is bounded: at the bound, a new
// connection replaces the one that its client is least likely to need. So is the memory in which
// requests are read: without a free chunk, the connection that has stalled the longest is closed.
// Both choices take the same time however many connections there are.
//
// The package does not use net/http's Server, for two reasons. That server hides the bytes that
// follow a request: the rest of a body whose Content-Length is too short, or a second request. And
// it does not evict connections by their state.
//
// The states of a connection, and their transitions, are listed at connState in conn.go.
//
// Hand-over: [Server.Quiesce] stops accepting, detaches the connections that have no request in
// flight, together with the bytes of a request that was read in part, and waits for the requests in
// flight. A successor process continues to serve the detached connections ([Server.Adopt]).
// [Server.Resume] undoes Quiesce if the hand-over fails.
//
// Files:
//
//   - server.go: configuration, accepting connections, their registration;
//   - conn.go: one connection, its states, writing;
//   - conn_read.go: reads from a connection, and the guard between them and its eviction;
//   - serve.go: the loop of a connection, from one request to the next;
//   - request.go: one request: validation, body, submission;
//   - read.go: reading into a connection's buffer;
//   - buffer.go: the bytes of the request in progress, which a hand-over passes on;
//   - head.go: the limits of heads, and their parsing;
//   - memory.go: the memory in which requests are read, and that of bodies that await a decision;
//   - pending.go: connections beyond the bound;
//   - evict.go: the choice of the connection to evict;
//   - stats.go: metrics;
//   - drain.go: closing connections in standby and at shutdown;
//   - handover.go: quiesce, detach, adopt, resume;
//   - closereason.go: why connections are closed.
package http1
