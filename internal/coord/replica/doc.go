// Package replica is one member of the coordination service without its I/O: it replicates the state
// machine of package coord with etcd's Raft library. It has no clock and no goroutine, and its
// randomness comes from a seed, so that a whole cluster can be simulated in virtual time and a
// failing run replayed (docs/design/coordination.md).
//
// # Saving before sending
//
// Tick, Receive, Propose, ReadIndex, AdvanceTime and the calls that change members pass events to a
// Core. ProcessReady then does one round, in this order:
//
//  1. It proposes the queued commands and takes Raft's pending work (raft.Ready).
//  2. It saves a WriteBatch: entries, term and vote, snapshot, and the incarnations of this member
//     and its peers. The batch is saved completely or not at all, and is on disk when save returns.
//  3. It applies the committed entries to the state machine.
//  4. It sends the Output: messages to other members, completions of commands and reads, sessions
//     to be notified.
//
// So a member sends a vote, an acknowledgement of an entry or a result only once a crash can't make
// the member lose it. A failed save stops the member for good, since its memory and its disk differ
// then.
//
// # Incarnations
//
// A member whose disk was lost, or set back to an old copy, has lost votes and entries that it has
// acknowledged to others. Raft is not safe then, so the loss must be detected. Each run of a member
// is an incarnation: a number, one higher than that of the run before, and a random nonce. A member
// announces its incarnation together with the list of its earlier incarnations. It takes part in
// elections and replication only once a majority of the voters, itself included if it is a voter,
// has the announced incarnation on disk. A peer whose disk holds an incarnation that is missing
// from the announced list replies with that incarnation, and the announcing member stops for good.
// It has to be removed from the cluster, and a new member added under another id.
//
// # States of a member
//
//	unannounced  announces its incarnation; does not vote, campaign or acknowledge entries
//	candidate    has no known leader; campaigns after its election timeout
//	follower     replicates a leader's log
//	leader       proposes commands, answers reads and sends heartbeats
//	failed       has stopped for good
//
//	from         to           when
//	unannounced  candidate    a majority of the voters has its incarnation on disk
//	candidate    follower     a leader is known
//	candidate    leader       it has won an election
//	follower     candidate    no message from the leader has arrived for an election timeout
//	leader       follower     a higher term is seen, no majority answers (check-quorum), or leadership is transferred
//	any          failed       a save failed, an entry or snapshot can't be applied, or the member's disk is stale
//
// # Commands and reads
//
// Only the leader accepts commands and reads. When a member stops being the leader, its commands and
// reads without a result complete with OutcomeUnknown: a command may be applied under the next
// leader, or never. Clients retry a command under the same sequence number. Reads use Raft's
// ReadIndex: a majority confirms the leader, and the read completes when all entries that were
// committed at the time of the read are applied.
//
// # Files
//
//	config.go       the configuration and limits
//	core.go         the member: its state, start, ticks
//	ready.go        ProcessReady: saving, applying and sending, in this order
//	proposal.go     commands, reads and entries that advance the time
//	apply.go        committed entries and membership changes
//	leadership.go   election timer, gaining and losing leadership
//	membership.go   proposals of membership changes
//	snapshot.go     restoring and creating snapshots, compaction of the log
//	incarnation.go  announcements, acknowledgements and stale incarnations
//	receive.go      messages from other members
//	envelope.go     the encoding of messages between members
//	state.go        the persistent state, and the batches that change it
//	status.go       the member's status
//	raftlog.go      the Raft library's logger
//	errors.go       errors that callers distinguish
package replica
