// Package upstream has the terms in which attempts are made at endpoints, whatever their protocol.
//
// An attempt is one [Request] to one [Target]; its [Result] says how it ended. The distinction that
// matters most to the caller is whether the endpoint can have executed the request:
// [Result.NotExecuted] is true only where that is proved, so that another attempt cannot repeat an
// effect.
//
// The protocols are in packages below:
//
//   - http1: a pool of HTTP/1.1 connections, which is what the relay uses;
//   - http2: the state of one HTTP/2 connection, without I/O. No program uses it yet.
//
// Files:
//
//   - request.go: Target and Request;
//   - result.go: Result.
package upstream
