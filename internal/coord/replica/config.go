package replica

// Config configures a member.
type Config struct {
	Cluster string
	ID      uint64
	Peers   []uint64 // the voters that a new member knows before it has a log
	Seed    uint64   // for election timeouts
	Nonce   uint64   // of this incarnation

	ElectionTicks    int    // shortest election timeout; the longest is less than twice as many
	HeartbeatTicks   int    // between a leader's heartbeats
	SnapshotInterval uint64 // entries applied between snapshots
	RetainedEntries  uint64 // entries retained before a snapshot, for members that lag
}

const (
	// maxQueuedProposals bounds the commands, and the reads, that wait for their round; more are
	// rejected.
	maxQueuedProposals = 8192
	// maxBatchCommands bounds the commands of one entry.
	maxBatchCommands = 512
	// maxMessageBytes bounds the entries of one message, about.
	maxMessageBytes = 1 << 20
	// maxReadyMessages and maxUncommittedMessages bound, in such messages, what one round applies
	// and what is in flight without being committed.
	maxReadyMessages, maxUncommittedMessages = 4, 64
	// maxInFlightMessages bounds the messages to one member that are not acknowledged.
	maxInFlightMessages = 256
	// maxVoterLag is how many entries a learner may lag behind to become a voter.
	maxVoterLag = 100
	// announceTicks is between announcements to a member that has not acknowledged this
	// incarnation.
	announceTicks = 5
)

// MaxIncarnations bounds the incarnations that a member remembers. A peer that was unreachable
// during more starts than that takes the member's disk for an old one.
const MaxIncarnations = 1024
