// Package http2 implements the state of an HTTP/2 connection to an endpoint (RFC 9113). The
// connection carries many requests at once, and the state shows for each request whether the endpoint
// may have executed it. No program uses the package yet.
//
// [Streams] is a state machine without I/O and without a clock. Its inputs are events (received
// frames, completed writes), and its outputs are [Actions] (frames to write, streams that ended).
// The caller parses and writes frames with the Framer of golang.org/x/net/http2, and header blocks
// with its hpack package. That library's Transport and ClientConn are not used: Transport resends
// requests by itself, and neither reports whether the last byte of a request was written.
//
// Files:
//
//   - actions.go: the results of an event: frames, ends of streams and their reasons;
//   - streams.go: the connection and its streams, their states, how they begin and end;
//   - flow.go: flow control and the peer's settings;
//   - receive.go: the received frames: responses, resets, GOAWAY and PING.
//
// Sections in comments are those of RFC 9113.
package http2
