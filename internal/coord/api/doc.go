// Package api is the coordination service's HTTP interface: its paths, its bodies and a caller.
// Only the member that leads answers commands and reads; each body names the cluster, so that a
// caller of another one is rejected.
//
// # Paths
//
// All bodies are JSON but those of PathRaft and the answer of PathSnapshot, which is the state
// machine's own form (coord.Machine.Snapshot). The request of every POST of a client is a Request
// with the field that is named here.
//
//	POST /v1/command   command        Response with result
//	POST /v1/read      query          Response with at and what the query asks for; no older than the call
//	POST /v1/wait      wait           Response with hint, once something became of the session's leases, or after 10 s without
//	POST /v1/members   join or leave  Response, once the change is applied
//	POST /v1/snapshot                 the state's bytes; no older than the call
//	GET  /v1/status                   Status of the member that is called, whether it leads or not
//	POST /v1/raft      frames         nothing; from other members (package server has the form)
//
// # Statuses
//
//	200  done
//	4xx  rejected: nothing was done, and a retry does not help; error says why (ErrRejected)
//	421  the member does not lead: leader and address name the one that does, if it is known (ErrNotLeader)
//	503  the outcome is unknown: a command may be applied or not
//
// A command whose outcome is unknown is retried under its sequence number, which makes it
// idempotent.
//
// # Files
//
//	protocol.go  paths and bodies
//	caller.go    calls to one member
//	leader.go    calls to whichever member leads
//	member.go    members as text
//	errors.go    the errors that callers tell apart
package api
