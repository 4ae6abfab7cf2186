// Package replica is one member of the coordination service without its I/O: etcd's Raft round the
// state machine of package coord. It has no clock and no goroutine, and its randomness comes from a
// seed, so that a whole cluster can be simulated in virtual time and a failing run replayed
// (docs/design/coordination.md).
//
// # What must be durable before what may be sent
//
// Events go in by Tick, Receive, Propose, ReadIndex, AdvanceTime and the calls that change members.
// ProcessReady then does one round, in an order that it alone keeps:
//
//  1. It proposes the queued commands and takes what Raft has ready (raft.Ready).
//  2. It saves a WriteBatch: entries, term and vote, snapshot, and the incarnations of this member
//     and its peers. All of the batch is on disk, or nothing, and save returns only then.
//  3. It applies the committed entries to the state machine.
//  4. It sends the Output: messages to other members, completions of commands and reads, sessions
//     to be notified.
//
// So no vote, no acknowledgement of an entry and no result leaves a member that could forget it in
// a crash. A failed save ends the member: what it has in memory is not on disk.
//
// # Incarnations
//
// A member whose disk was lost, or set back to an old copy, has forgotten votes and entries that it
// has promised. Raft does not survive that, so it must be noticed. Each run of a member is an
// incarnation: a number, one higher than that of the run before, and a random nonce. A member
// announces its incarnation, with the list of those before it, and takes part in elections and
// replication only once so many others have it on disk that they and it are a majority. A peer that
// knows an incarnation which is missing from the announced list answers with it, and the member
// stops for good. It has to be removed, and a new one added under another id.
//
// # States of a member
//
//	unannounced  it announces its incarnation; it neither votes, campaigns nor acknowledges
//	candidate    it takes part and knows no leader; it campaigns when its election timeout has passed
//	follower     it replicates a leader's log
//	leader       it proposes commands, answers reads and sends heartbeats
//	failed       it has stopped for good
//
//	from         to           when
//	unannounced  candidate    a majority, with itself, knows its incarnation
//	candidate    follower     a leader is known
//	candidate    leader       it has won an election
//	follower     candidate    its leader has not been heard from for an election timeout
//	leader       follower     a higher term is seen, or no majority answers (check-quorum), or leadership is transferred
//	any          failed       a save failed, an entry can't be applied, or its disk is old
//
// # Commands and reads
//
// Only a leader accepts commands and reads. When it stops leading, those without a result complete
// as OutcomeUnknown: they may be applied by the next leader, or never. Clients retry under the same
// sequence number. Reads use Raft's ReadIndex: a majority confirms the leader, and the read
// completes when the entries up to that moment are applied.
//
// # Files
//
//	config.go       the configuration and the bounds
//	core.go         the member: its state, start, ticks
//	ready.go        ProcessReady: what is saved, applied and sent, in which order
//	proposal.go     commands, reads and the passing of time
//	apply.go        committed entries and changes of members
//	leadership.go   election timer, gaining and losing leadership
//	membership.go   proposals to change the members
//	snapshot.go     restoring and creating snapshots, compaction of the log
//	incarnation.go  announcements, acknowledgements and stale incarnations
//	receive.go      messages from other members
//	envelope.go     the form of messages between members
//	state.go        what a member has on disk, and the batches that change it
//	status.go       the member's status
//	raftlog.go      the Raft library's logger
//	errors.go       the errors that callers tell apart
package replica
