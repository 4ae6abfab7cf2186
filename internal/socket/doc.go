// Package socket makes TCP connections hold through shortages of this machine, and looks at sockets
// beneath net's connections.
//
// A call that fails for a shortage here (syserr.Local: descriptors, buffers, ports, a route) says nothing
// of the other side. Such calls are repeated within a bound, against requests that are rejected,
// connections that are closed, and endpoints that count as unhealthy for a temporary error.
//
// # Files
//
//   - dial.go: Dialer, for outgoing connections
//   - listen.go: Listen
//   - retry_conn.go: reads and writes that are repeated
//   - peek.go: Peek, for what a connection has to read
//   - socket.go: what they share
package socket
