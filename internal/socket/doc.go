// Package socket retries calls on TCP sockets that fail because of a temporary shortage on this machine,
// and checks sockets for unread bytes.
//
// A call that fails because of such a shortage (syserr.Local: descriptors, buffers, ports, a route) is no
// sign of a fault of the peer. It is retried within limits, so that a temporary error does not reject
// requests, close connections or make endpoints count as unhealthy.
//
// # Files
//
//   - dial.go: Dialer, for outgoing connections
//   - listen.go: Listen, for listening sockets
//   - retry_conn.go: RetryConn, whose reads and writes are retried
//   - last_data.go: LastDataAge, how long ago a connection received its last bytes
//   - peek.go: Peek, which checks a connection for unread bytes
//   - socket.go: shared constants and functions
package socket
