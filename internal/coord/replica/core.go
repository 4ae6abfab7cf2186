package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord"
)

// Completion is the result of a command or read that was accepted under a tag.
type Completion struct {
	Tag            uint64
	Result         coord.Result // of a command
	Read           bool         // true for a read: the state machine is now no older than the read
	OutcomeUnknown bool         // the member is not the leader any more or has failed: the command may or may not be applied
}

// Output is the data that the member may send once its WriteBatch is saved.
type Output struct {
	Messages        []Envelope
	Completions     []Completion
	ChangedSessions []uint64 // of a leader: sessions that were granted a lease, or whose lease was revoked
}

func (o *Output) empty() bool {
	return len(o.Messages)+len(o.Completions)+len(o.ChangedSessions) == 0
}

// Core is a member without its I/O. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rand *rand.Rand

	// Consensus and the replicated state.
	storage       *raft.MemoryStorage // in-memory copy of the log, term and vote on disk
	node          *raft.RawNode
	machine       *coord.Machine
	confState     *raftpb.ConfState
	applied       uint64
	snapshotIndex uint64
	// membersChanged requests a snapshot. A new member can't use a snapshot from before it joined,
	// because that snapshot does not list it as a member.
	membersChanged bool

	incarnations incarnationTracker
	failed       error // once set, the member has stopped for good

	// Leadership.
	leading          bool
	term             uint64
	leader           uint64        // 0: not known
	lastProposal     time.Duration // when this leader proposed its last entry, on its own clock
	ticksSinceLeader int           // ticks since the last message from a leader
	electionTimeout  int           // in ticks

	// Commands and reads that are not completed.
	proposalID uint64              // of the last proposed entry
	queue      []queuedCommand     // commands for the next entry
	proposed   map[uint64][]uint64 // tags of the commands of each proposed entry, by proposal id
	reads      []pendingRead

	// Data that the next round saves and sends.
	pendingWrite WriteBatch
	outbox       []Envelope
	completions  []Completion
}

// New starts a member from its persistent state. It returns an error if that state can't be used.
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
		// A command is proposed with the leader's time, so a follower must not forward it.
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: silentLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	c.resetElectionTimer()
	c.announce()
	return c, nil
}

// load loads the persistent state into memory.
func (c *Core) load(state PersistentState) error {
	if state.Snapshot != nil {
		if err := c.installSnapshot(state.Snapshot); err != nil {
			return err
		}
	}
	if state.HardState != nil {
		c.term = state.HardState.GetTerm()
		_ = c.storage.SetHardState(state.HardState) // always returns nil
	}
	if err := c.storage.Append(state.Entries); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// Machine returns the state machine, to which the log is applied up to Status().Applied. Callers
// must not keep it across calls of Core's methods: a snapshot from another member replaces it.
func (c *Core) Machine() *coord.Machine { return c.machine }

// Leadership returns whether this member believes that it is the leader, and the id of the known
// leader (0: none).
func (c *Core) Leadership() (leading bool, leader uint64) { return c.leading, c.leader }

// Tick advances the member's clock by one tick.
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
	// TickQuiesced instead of Tick: the library would choose election timeouts with its own random
	// generator, which no seed can replay.
	c.node.TickQuiesced()
	if c.ticksSinceLeader++; c.ticksSinceLeader >= c.electionTimeout {
		c.resetElectionTimer()
		_ = c.node.Campaign() // never fails; a member without a vote does not campaign
	}
}

// fail stops the member for good. The outcome of its pending commands and reads is unknown.
func (c *Core) fail(err error) {
	if c.failed == nil {
		c.failed = err
		c.leading = false
		c.completeAllUnknown()
	}
}
