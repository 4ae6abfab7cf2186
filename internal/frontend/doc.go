// Package frontend has the terms in which clients submit requests, and the validation of what they
// submit, whatever their protocol.
//
// A [Submission] is a request that passed the [Validator] and waits for the relay's decision, which
// comes back as a [Response]. What does not pass is a [RejectionError], with the status that the
// client gets.
//
// The protocol, HTTP/1.1, is in package http1 below.
//
// Files:
//
//   - submission.go: Submission and Response;
//   - rejection.go: RejectionError and the reasons;
//   - validator.go: the checks of a submission.
package frontend
