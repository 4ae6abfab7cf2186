// Package upstream defines the types for attempts at endpoints. It does not depend on the protocol
// that an endpoint uses.
//
// An attempt sends one [Request] to one [Target]; its [Result] says how it ended. Most important to
// the caller is whether the endpoint may have executed the request: [Result.NotExecuted] is true
// only if it is proved that the endpoint did not execute it, so that another attempt cannot execute
// the request twice.
//
// The protocols are implemented by packages in subfolders:
//
//   - http1: a pool of HTTP/1.1 connections, which the relay uses;
//   - http2: the state of one HTTP/2 connection, without I/O. No program uses it yet.
//
// Files:
//
//   - request.go: Target and Request;
//   - result.go: Result.
package upstream
