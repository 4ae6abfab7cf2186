package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord"
)

// Completion is the end of a command or read that was accepted under a tag.
type Completion struct {
	Tag            uint64
	Result         coord.Result // of a command
	Read           bool         // a read: the state is now no older than the read
	OutcomeUnknown bool         // the member leads no more: the command may be applied or not
}

// Output is what may leave the member once its WriteBatch is saved.
type Output struct {
	Messages        []Envelope
	Completions     []Completion
	ChangedSessions []uint64 // at a leader: sessions that were granted a lease, or whose lease was revoked
}

func (o *Output) empty() bool {
	return len(o.Messages)+len(o.Completions)+len(o.ChangedSessions) == 0
}

// Core is a member. It is not safe for use by several goroutines.
type Core struct {
	cfg  Config
	rand *rand.Rand

	// Consensus and the state that it replicates.
	storage       *raft.MemoryStorage // mirrors what is on disk
	node          *raft.RawNode
	machine       *coord.Machine
	confState     *raftpb.ConfState
	applied       uint64
	snapshotIndex uint64
	// membersChanged asks for a snapshot: one in which a member is missing is of no use to that
	// member.
	membersChanged bool

	incarnations incarnationTracker
	failed       error // set for good: this member must not go on

	// Leadership.
	leading          bool
	term             uint64
	leader           uint64        // 0: not known
	lastProposal     time.Duration // when this leader's last entry was proposed, by its clock
	ticksSinceLeader int           // ticks since a leader was heard from
	electionTimeout  int           // of such ticks

	// Commands and reads without a completion.
	proposalID uint64              // of the last entry that was proposed
	queue      []queuedCommand     // for the next entry
	proposed   map[uint64][]uint64 // tags of commands by their entry's proposal id
	reads      []pendingRead

	// What the next round saves and sends.
	pendingWrite WriteBatch
	outbox       []Envelope
	completions  []Completion
}

// New starts a member from its disk. An error means that the disk can't be used.
func New(cfg Config, state PersistentState) (*Core, error) {
	c := &Core{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), storage: raft.NewMemoryStorage(),
		machine: coord.New(cfg.Cluster), confState: &raftpb.ConfState{}, proposed: map[uint64][]uint64{},
	}
	if err := c.load(state); err != nil {
		return nil, err
	}
	c.incarnations = newIncarnationTracker(cfg, state)
	c.pendingWrite.Incarnations = c.incarnations.history
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: cfg.ID, ElectionTick: cfg.ElectionTicks, HeartbeatTick: cfg.HeartbeatTicks,
		Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: maxMessageBytes, MaxCommittedSizePerReady: maxReadyMessages * maxMessageBytes,
		MaxInflightMsgs: maxInFlightMessages, MaxUncommittedEntriesSize: maxUncommittedMessages * maxMessageBytes,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		// A command carries its leader's time, so a follower must not forward it.
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: silentLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	c.resetElectionTimer()
	c.announce()
	return c, nil
}

// load loads what is on disk into memory.
func (c *Core) load(state PersistentState) error {
	if state.Snapshot != nil {
		if err := c.installSnapshot(state.Snapshot); err != nil {
			return err
		}
	}
	if state.HardState != nil {
		c.term = state.HardState.GetTerm()
		_ = c.storage.SetHardState(state.HardState) // always nil
	}
	if err := c.storage.Append(state.Entries); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// Machine returns the state machine, as far as the log is applied. It must be read between calls
// only: a snapshot from another member replaces it.
func (c *Core) Machine() *coord.Machine { return c.machine }

// Leadership reports whether this member believes to lead, and whom else it believes to lead (0:
// nobody).
func (c *Core) Leadership() (leading bool, leader uint64) { return c.leading, c.leader }

// Tick advances the member's clock by a tick.
func (c *Core) Tick() {
	if c.failed != nil {
		return
	}
	c.announceAgain()
	if !c.incarnations.announced {
		return
	}
	if c.leading {
		c.node.Tick()
		return
	}
	// Not Tick: the library would time elections by the machine's randomness, which no seed can
	// replay.
	c.node.TickQuiesced()
	if c.ticksSinceLeader++; c.ticksSinceLeader >= c.electionTimeout {
		c.resetElectionTimer()
		_ = c.node.Campaign() // fails only for a member that is no voter, which then does not campaign
	}
}

// fail stops the member for good.
func (c *Core) fail(err error) {
	if c.failed == nil {
		c.failed = err
		c.leading = false
		c.completeAllUnknown()
	}
}
