// Package frontend defines the types for requests that clients submit, and validates them. It does
// not depend on the protocol that a client uses.
//
// A [Submission] is a request that passed the [Validator] and waits for the relay's decision, which
// is returned as a [Response]. A request that does not pass gives a [RejectionError] with the status
// code that the client receives.
//
// Package http1, in the subfolder of that name, implements the only protocol, HTTP/1.1.
//
// Files:
//
//   - submission.go: Submission and Response;
//   - rejection.go: RejectionError and the reasons;
//   - validator.go: the checks of a submission.
package frontend
