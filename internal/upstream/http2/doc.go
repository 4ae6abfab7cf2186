// Package http2 has the state of an HTTP/2 connection to an endpoint (RFC 9113): many requests at
// once, each with the exact truth of whether the endpoint can have executed it. No program uses it
// yet.
//
// [Streams] is a pure core: events in (frames that were received, writes that completed), [Actions]
// out (frames to write, streams that ended). It knows neither socket nor clock. Frames are to be
// parsed and written by the Framer of golang.org/x/net/http2, and header blocks by its hpack. That
// library's Transport and ClientConn are not used: the first sends a request again by itself, and
// neither reports whether a request's last byte had been written.
//
// Files:
//
//   - actions.go: what an event results in: frames, ends of streams and their reasons;
//   - streams.go: the connection and its streams, their states, how they begin and end;
//   - flow.go: flow control and the peer's settings;
//   - receive.go: the frames of a response, of a reset and of a connection's end.
//
// Sections in comments are those of RFC 9113.
package http2
