// Package api is the coordination service's HTTP interface: its paths, its bodies and a client
// (Caller). Only the leader answers commands and reads. Each POST names the cluster, so that a
// member of another cluster rejects it.
//
// # Paths
//
// All bodies are JSON, except those of PathRaft. The answer of PathSnapshot is a snapshot of the
// state machine (coord.Machine.Snapshot). The body of every client's POST is a Request in which the
// fields listed here are set.
//
//	POST /v1/command   command        Response with result
//	POST /v1/read      query          Response with at and the queried data; the state is no older than the call
//	POST /v1/wait      wait           Response with hint as soon as the session's leases have changed, or without it after 10 s
//	POST /v1/members   join or leave  Response, once the change is applied
//	POST /v1/snapshot                 snapshot; the state is no older than the call
//	GET  /v1/status                   Status of the called member, leader or not
//	POST /v1/raft      frames         no body; called by other members (package server describes the frames)
//
// # Statuses
//
//	200  done
//	4xx  rejected: nothing was done, and a retry does not help; error gives the reason (ErrRejected)
//	421  the member is not the leader: leader and address name the leader, if it is known (ErrNotLeader)
//	503  the outcome is unknown: the command may have been applied or not
//
// A command whose outcome is unknown is retried under its sequence number, which makes it
// idempotent.
//
// # Files
//
//	protocol.go  paths and bodies
//	caller.go    calls to one member
//	leader.go    calls to the leader
//	member.go    parsing of members
//	errors.go    errors that callers distinguish
package api
