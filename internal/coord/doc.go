// Package coord is the replicated state machine of the coordination service: sessions, leases with
// fencing tokens, and small values. Its state depends on nothing but the entries of the log
// (docs/design/coordination.md). Package replica replicates the log with Raft.
//
// The concepts are those of "The Chubby lock service" (Burrows, OSDI 2006) and of etcd's
// concurrency package.
//
//   - A session belongs to one client process. It expires when it is not renewed within its time to
//     live; all its leases and queued requests end with it. Every command of a session renews it.
//   - A lease has at most one holder. Each grant has a fencing token, higher than that of any grant
//     before it. Sessions that request a lease which is held wait in its queue, first come, first
//     served.
//   - A grant ends when the holder releases the lease, when the holder transfers it to a queued
//     session of its choice, when the holder's session ends, or when an operator revokes it. A
//     revoked lease is granted again only once its holder has released or transferred it or closed
//     its session, or once the holder's last renewal before the revocation has expired: until then
//     the holder may not have been informed of the revocation.
//   - A value has the revision of the write that created it. A write states the revision that it
//     expects the value to have, and may name a lease and its fencing token: the write is rejected
//     if the session does not hold the lease under that token any more.
//   - A command for a lease or value carries the session's next sequence number. A retry gets the
//     result of the first application and is not applied again.
//
// # Time
//
// The state machine has no clock. Each entry of the log states the time that has elapsed on its
// leader's clock since that leader's previous entry; the machine's time is the sum of these. A new
// leader's first entry renews all sessions, as Chubby's grace period does. So the machine's time
// never runs ahead of real time by more than the drift of the leaders' clocks.
//
// # What the state machine does not promise
//
// The state machine can't stop a holder from acting after its lease was granted to another session.
// Package lease, the client's side, stops the holder at its own deadline. A resource that can check
// fencing tokens rejects late acts.
//
// # Stored forms
//
// Entries of the log and snapshots are JSON with a version (EntryVersion, SnapshotVersion). A
// member that reads another version stops: if it skipped an entry that other members have applied,
// its state would differ from theirs. Snapshots of the same state have the same bytes.
//
// # Files
//
//	command.go   operations and commands
//	validate.go  checks of a command that need no state
//	result.go    codes, grants and results
//	entry.go     the encoding of an entry of the log
//	machine.go   the state, and how entries and commands are applied
//	session.go   opening, renewing, expiring and closing sessions
//	lease.go     granting, queueing, releasing, transferring and revoking leases
//	history.go   events of leases, for operators
//	view.go      leases and table sizes, for operators
//	values.go    values, their revisions and watches
//	members.go   the members of the cluster
//	snapshot.go  the encoding of a snapshot
//	status.go    a member's status
//	limits.go    limits of all tables
//	errors.go    error types that callers distinguish
package coord
