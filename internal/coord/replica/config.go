package replica

// Config configures a member.
type Config struct {
	Cluster string
	ID      uint64
	Peers   []uint64 // voters of the cluster, for a new member whose log does not contain them yet
	Seed    uint64   // for random election timeouts
	Nonce   uint64   // of this incarnation

	ElectionTicks    int    // shortest election timeout; the longest is less than twice as long
	HeartbeatTicks   int    // ticks between a leader's heartbeats
	SnapshotInterval uint64 // number of entries applied between snapshots
	RetainedEntries  uint64 // number of entries before a snapshot that are kept for members that lag behind
}

const (
	// maxQueuedProposals bounds the queued commands, and separately the pending reads; further ones
	// are rejected.
	maxQueuedProposals = 8192
	// maxBatchCommands bounds the commands of one entry.
	maxBatchCommands = 512
	// maxMessageBytes is the approximate limit of the total size of the entries in one Raft
	// message.
	maxMessageBytes = 1 << 20
	// maxReadyMessages limits the size of the entries that one round applies, and
	// maxUncommittedMessages the size of the entries that are proposed but not committed. Both are
	// multiples of maxMessageBytes.
	maxReadyMessages, maxUncommittedMessages = 4, 64
	// maxInFlightMessages bounds the unacknowledged messages to one member.
	maxInFlightMessages = 256
	// maxVoterLag is the number of entries that a learner may lag behind when it is promoted to a
	// voter.
	maxVoterLag = 100
	// announceTicks is the number of ticks between announcements to a member that has not
	// acknowledged this incarnation.
	announceTicks = 5
)

// MaxIncarnations bounds the incarnations that a member stores and announces. If a peer was
// unreachable during more restarts than this, the incarnation that the peer has on disk is missing
// from the announced list, and the peer reports the member's disk as stale.
const MaxIncarnations = 1024
