// Package coord is the replicated state machine of the coordination service: sessions, leases with
// fencing tokens, and small values. Its state is a function of the log alone
// (docs/design/coordination.md). Package replica runs it under Raft.
//
// The concepts are those of "The Chubby lock service" (Burrows, OSDI 2006) and of etcd's
// concurrency package.
//
//   - A session belongs to one client process. It expires when it is not renewed within its time to
//     live, and everything that it holds ends with it. Every command of a session renews it.
//   - A lease has at most one holder. Each grant has a fencing token, higher than that of any grant
//     before it. Sessions that ask for a lease that is held wait in its queue, first come, first
//     served.
//   - A lease is released by its holder, transferred by it to a queued session of its choice, ended
//     with its session, or revoked by an operator. A revoked lease is granted again only once its
//     holder has released it, or once the last renewal that may have told the holder otherwise has
//     expired.
//   - A value has the revision of the write that made it. A write names the revision that it
//     expects, and may name a lease and token: it is rejected where that grant does not stand any
//     more.
//   - A command with an effect carries the session's next sequence number. A retry gets the result
//     of the first application and is not applied again.
//
// # Time
//
// The machine has no clock. Its time is the sum of what the log's entries say has elapsed on their
// leader's clock. A new leader's first entry renews all sessions, as Chubby's grace period does. So
// the machine's time never runs ahead of true time by more than the drift of the leaders' clocks.
//
// # What the state machine does not promise
//
// A holder that does not watch its own deadline may act after its lease has passed on. Package
// lease is the client's side of that promise, and fencing tokens are for resources that can check
// them.
//
// # Stored forms
//
// Entries of the log and snapshots are JSON with a version (EntryVersion, SnapshotVersion). A
// member that reads another version stops: skipping what others have applied would make its state
// differ from theirs. Snapshots of the same state have the same bytes.
//
// # Files
//
//	command.go   operations and commands
//	validate.go  what is checked of a command by itself
//	result.go    codes, grants and results
//	entry.go     the form of an entry of the log
//	machine.go   the state, and how entries and commands are applied
//	session.go   opening, renewing, expiring and closing sessions
//	lease.go     granting, queueing, releasing, transferring and revoking leases
//	history.go   what became of leases, for people
//	view.go      leases and table sizes, for people
//	values.go    values, their revisions and watches
//	members.go   the members of the cluster
//	snapshot.go  the form of a snapshot
//	status.go    a member's status
//	limits.go    the bounds of every table
//	errors.go    the errors that callers tell apart
package coord
