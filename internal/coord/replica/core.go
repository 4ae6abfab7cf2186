// Package replica is one member of the coordination service without its I/O: etcd's raft round the state machine of
// package coord. Events go in; a round gives what has to be on disk and, once it is, what may be sent then.
// Round keeps that order. It has no clock and no goroutine, and its randomness comes from a seed, so a whole quorum can be played in virtual
// time, and again (docs/design/coordination.md).
package replica

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"frostlink/internal/coord"
)

// Config says how a member behaves.
type Config struct {
	Cluster string
	ID      uint64
	Peers   []uint64 // of a member that joins: whom it knows before it has a log
	Seed    uint64   // for elections
	Nonce   uint64   // of this life

	ElectionTicks  int    // without word of a leader before an election, at least; twice as many at most
	HeartbeatTicks int    // between a leader's heartbeats
	SnapshotEvery  uint64 // entries applied
	KeepEntries    uint64 // before a snapshot, for members that lag
}

const (
	// mostQueued commands wait for the next entry; what comes beyond is refused.
	mostQueued = 8192
	// mostBatch commands go into one entry.
	mostBatch = 512
	// mostBytes of entries go into one message, about.
	mostBytes = 1 << 20
)

// Answer is the end of a command or read that was submitted under a tag.
type Answer struct {
	Tag    uint64
	Result coord.Result // of a command
	Read   bool         // a read: the state is now no older than the read
	Lost   bool         // the member leads no more: it is not known whether the command is applied
}

// Output is what may leave the member.
type Output struct {
	Messages []Envelope
	Answers  []Answer
	Hints    []uint64 // of a leader: sessions to which a lease came, or from which one was taken
}

func (o *Output) empty() bool { return len(o.Messages)+len(o.Answers)+len(o.Hints) == 0 }

// Core is a member. It is not safe for use by several goroutines.
type Core struct {
	cfg     Config
	rand    *rand.Rand
	storage *raft.MemoryStorage
	node    *raft.RawNode
	machine *coord.Machine
	conf    *raftpb.ConfState
	applied uint64
	taken   uint64 // applied index of the last snapshot
	anew    bool   // the members have changed: a snapshot in which one that joined is missing is of no use to it

	lives
	failed error // set for good: this member must not go on

	leading bool
	term    uint64
	leader  uint64
	base    time.Duration // when the last entry of this leader was proposed, by its clock
	number  uint64
	queue   []queued
	waiting map[uint64][]uint64 // tags by number of the entry
	reads   []read
	quiet   int // ticks without word of a leader
	limit   int // of them until an election

	pending Write // to be written with the next round
	outbox  []Envelope
	answers []Answer
}

type queued struct {
	tag     uint64
	command coord.Command
}

type read struct {
	tag   uint64
	index uint64 // 0: not known yet
}

// First is the disk of a member with which a cluster begins.
func First(cluster string, members []coord.Member) Disk {
	machine := coord.New(cluster)
	conf := &raftpb.ConfState{}
	for _, m := range members {
		machine.AddMember(1, m)
		conf.Voters = append(conf.Voters, m.ID)
	}
	return Disk{
		Hard: &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot: &raftpb.Snapshot{Data: machine.Snapshot(), Metadata: &raftpb.SnapshotMetadata{
			ConfState: conf, Index: new(uint64(1)),
			Term: new(uint64(1)),
		}},
	}
}

// New starts a member from its disk. An error means that the disk can't be used.
func New(cfg Config, disk Disk) (*Core, error) {
	c := &Core{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), storage: raft.NewMemoryStorage(), machine: coord.New(cfg.Cluster),
		conf: &raftpb.ConfState{}, waiting: map[uint64][]uint64{},
	}
	if disk.Snapshot != nil {
		if err := c.storage.ApplySnapshot(disk.Snapshot); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		if err := c.restore(disk.Snapshot); err != nil {
			return nil, err
		}
	}
	if disk.Hard != nil {
		c.term = disk.Hard.GetTerm()
		_ = c.storage.SetHardState(disk.Hard) // it has no error
	}
	if err := c.storage.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	c.lives.begin(cfg, disk)
	c.pending.Lives = c.past
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: cfg.ID, ElectionTick: cfg.ElectionTicks, HeartbeatTick: cfg.HeartbeatTicks,
		Storage: c.storage, Applied: c.applied, MaxSizePerMsg: mostBytes, MaxCommittedSizePerReady: 4 * mostBytes, MaxInflightMsgs: 256,
		MaxUncommittedEntriesSize: 64 * mostBytes, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{},
	})
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	c.rest()
	c.announce(c.conf)
	return c, nil
}

// restore takes over a snapshot's state.
func (c *Core) restore(s *raftpb.Snapshot) error {
	machine, err := coord.Restore(s.GetData())
	if err != nil {
		return err
	}
	if machine.Cluster() != c.cfg.Cluster {
		return fmt.Errorf("snapshot: of cluster %q, not %q", machine.Cluster(), c.cfg.Cluster)
	}
	c.machine = machine
	c.conf = s.GetMetadata().GetConfState()
	c.applied, c.taken = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// State is the state machine, as far as it is applied. It may be read between calls, not kept.
func (c *Core) State() *coord.Machine { return c.machine }

// Leading tells whether this member believes to lead, and whom it believes to lead else (0: nobody).
func (c *Core) Leading() (bool, uint64) { return c.leading, c.leader }

// rest begins a new wait for word of a leader.
func (c *Core) rest() {
	c.quiet, c.limit = 0, c.cfg.ElectionTicks+c.rand.IntN(c.cfg.ElectionTicks)
}

// Tick tells that a tick of the member's clock has passed.
func (c *Core) Tick() {
	if c.failed != nil {
		return
	}
	c.reannounce(c.conf)
	if !c.cleared {
		return
	}
	if c.leading {
		c.node.Tick()
		return
	}
	// Not Tick: the library would call elections by the machine's randomness, which no seed plays again.
	c.node.TickQuiesced()
	if c.quiet++; c.quiet >= c.limit {
		c.rest()
		_ = c.node.Campaign() // has no error but for a member that is no voter, which then does not campaign
	}
}

// Submit takes a command. Where it is false the member does not lead, or has too many waiting: nothing was done.
func (c *Core) Submit(tag uint64, command coord.Command) bool {
	if !c.leading || c.failed != nil || len(c.queue) >= mostQueued {
		return false
	}
	c.queue = append(c.queue, queued{tag, command})
	return true
}

// Read asks for a moment at which the state is no older than this call. Where it is false the member does not lead.
func (c *Core) Read(tag uint64) bool {
	if !c.leading || c.failed != nil || len(c.reads) >= mostQueued {
		return false
	}
	c.reads = append(c.reads, read{tag: tag})
	c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, tag))
	return true
}

// Transfer asks another member to lead, before this one ends.
func (c *Core) Transfer() {
	if !c.leading {
		return
	}
	for _, id := range c.conf.GetVoters() {
		if id != c.cfg.ID && c.reached[id] {
			c.node.TransferLeader(id)
			return
		}
	}
}

// change is what an entry that changes the members says beside the change itself.
type change struct {
	Join  *coord.Member `json:"join,omitempty"`
	Leave uint64        `json:"leave,omitempty"`
}

// Join proposes to add a learner, or to give one its vote.
func (c *Core) Join(m coord.Member) error {
	if err := c.machine.ValidateAdd(m); err != nil {
		return err
	}
	kind := raftpb.ConfChangeAddNode
	if m.Learner {
		kind = raftpb.ConfChangeAddLearnerNode
	} else if !c.caughtUp(m.ID) {
		return fmt.Errorf("member %d has not caught up with the log yet", m.ID)
	}
	return c.propose(kind, m.ID, change{Join: &m})
}

// Leave proposes to remove a member.
func (c *Core) Leave(id uint64) error {
	if err := c.machine.ValidateRemove(id); err != nil {
		return err
	}
	return c.propose(raftpb.ConfChangeRemoveNode, id, change{Leave: id})
}

func (c *Core) propose(kind raftpb.ConfChangeType, id uint64, what change) error {
	if !c.leading {
		return fmt.Errorf("this member does not lead")
	}
	context, err := json.Marshal(what)
	if err != nil {
		return err
	}
	return c.node.ProposeConfChange(&raftpb.ConfChangeV2{
		Context: context,
		Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: &id}},
	})
}

// flush proposes what waits, stamped with the time since the entry before. The clock is read after the commands came:
// a renewal counts from no earlier than it was sent.
func (c *Core) flush(now time.Duration, wall int64) {
	for c.leading && len(c.queue) > 0 {
		batch := c.queue[:min(len(c.queue), mostBatch)]
		e := coord.Entry{Elapsed: now - c.base}
		var tags []uint64
		for _, q := range batch {
			e.Commands = append(e.Commands, q.command)
			tags = append(tags, q.tag)
		}
		if !c.append(e, wall) {
			return // leadership is being handed on: they wait, and are lost with it
		}
		c.base = now
		c.waiting[c.number] = tags
		c.queue = slices.Clone(c.queue[len(batch):])
	}
}

// append proposes one entry.
func (c *Core) append(e coord.Entry, wall int64) bool {
	c.number++
	e.Proposer, e.Incarnation, e.ProposalID, e.WallMillis = c.cfg.ID, c.life.Number, c.number, wall
	return c.node.Propose(e.Encode()) == nil
}

// Pass lets time pass in the state machine although no command came, where a session may end by it. Call it some
// times a second.
func (c *Core) Pass(now time.Duration, wall int64) {
	if c.leading && len(c.queue) == 0 && now-c.base >= c.machine.NextExpiry() && c.append(coord.Entry{Elapsed: now - c.base}, wall) {
		c.base = now
	}
}

// Round takes the member one step on: what it decided is saved, and only then does what depends on it leave. It is
// false where there was nothing to do. An error of save ends the member: what it has in memory is not on disk.
//
// Time is that of the boot-time clock, read after the events came: a renewal counts from no earlier than it was sent.
// Wall is for people.
func (c *Core) Round(now time.Duration, wall int64, save func(Write) error, send func(Output)) (bool, error) {
	if c.failed != nil {
		return false, c.failed
	}
	c.flush(now, wall)
	rd := raft.Ready{}
	ready := c.node.HasReady()
	if ready {
		rd = c.node.Ready()
	}
	w := c.pending
	c.pending = Write{}
	w.Entries, w.Hard = rd.Entries, rd.HardState
	if !raft.IsEmptySnap(rd.Snapshot) {
		w.Snapshot, w.Whole, w.First = rd.Snapshot, true, 0
	}
	if !w.empty() {
		if err := save(w); err != nil {
			c.fail(err)
			return false, err
		}
	}
	if err := c.take(&rd, now, wall); err != nil {
		c.fail(err)
		return false, err
	}
	for _, m := range rd.Messages {
		c.post(m)
	}
	out := Output{Messages: c.outbox, Answers: c.answers}
	c.outbox, c.answers = nil, nil
	if hints := c.machine.TakeChangedSessions(); c.leading {
		out.Hints = hints
	}
	if !out.empty() {
		send(out)
	}
	if ready {
		c.node.Advance(rd)
		c.snapshot()
	}
	return !w.empty() || !out.empty() || len(rd.CommittedEntries) > 0, c.failed
}

// take takes over what is on disk now, and applies what is committed.
func (c *Core) take(rd *raft.Ready, now time.Duration, wall int64) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if err := c.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	if rd.HardState != nil {
		_ = c.storage.SetHardState(rd.HardState) // it has no error
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	for _, e := range rd.CommittedEntries {
		if err := c.applyEntry(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	c.follow(rd, now, wall)
	for _, s := range rd.ReadStates {
		tag := binary.BigEndian.Uint64(s.RequestCtx)
		for i := range c.reads {
			if c.reads[i].tag == tag {
				c.reads[i].index = max(s.Index, 1)
			}
		}
	}
	c.reads = slices.DeleteFunc(c.reads, func(r read) bool {
		done := r.index > 0 && r.index <= c.applied
		if done {
			c.answers = append(c.answers, Answer{Tag: r.tag, Read: true})
		}
		return done
	})
	return nil
}

// follow notes who leads. Only a leader that stays one may answer what it took: what is out when it ends is lost.
func (c *Core) follow(rd *raft.Ready, now time.Duration, wall int64) {
	if rd.HardState != nil && rd.HardState.GetTerm() != c.term {
		c.term = rd.HardState.GetTerm()
		c.rest()
	}
	if rd.SoftState == nil {
		return
	}
	c.leader = rd.SoftState.Lead
	leads := rd.SoftState.RaftState == raft.StateLeader
	switch {
	case leads && !c.leading:
		c.leading, c.base = true, now
		c.append(coord.Entry{NewTerm: c.term}, wall)
	case !leads && c.leading:
		c.leading = false
		c.drop()
	}
	c.rest()
}

// drop answers all that waits: it may be applied or not.
func (c *Core) drop() {
	var tags []uint64
	for _, list := range c.waiting {
		tags = append(tags, list...)
	}
	for _, q := range c.queue {
		tags = append(tags, q.tag)
	}
	for _, r := range c.reads {
		tags = append(tags, r.tag)
	}
	slices.Sort(tags)
	for _, tag := range tags {
		c.answers = append(c.answers, Answer{Tag: tag, Lost: true})
	}
	clear(c.waiting)
	c.queue, c.reads = nil, nil
}

// applyEntry applies a committed entry.
func (c *Core) applyEntry(e *raftpb.Entry) error {
	c.applied = e.GetIndex()
	switch {
	case e.GetType() != raftpb.EntryNormal:
		return c.applyChange(e)
	case len(e.GetData()) == 0:
		return nil // the library's own, at the start of a term
	}
	entry, err := coord.DecodeEntry(e.GetData())
	if err != nil {
		return err
	}
	results := c.machine.Apply(e.GetIndex(), entry)
	if entry.Proposer != c.cfg.ID || entry.Incarnation != c.life.Number {
		return nil
	}
	for i, tag := range c.waiting[entry.ProposalID] {
		c.answers = append(c.answers, Answer{Tag: tag, Result: results[i]})
	}
	delete(c.waiting, entry.ProposalID)
	return nil
}

// applyChange applies a committed change of the members.
func (c *Core) applyChange(e *raftpb.Entry) error {
	var v2 raftpb.ConfChangeV2
	if e.GetType() != raftpb.EntryConfChangeV2 {
		return fmt.Errorf("a change of members of an unknown kind (%v)", e.GetType())
	}
	if err := proto.Unmarshal(e.GetData(), &v2); err != nil {
		return err
	}
	c.conf = c.node.ApplyConfChange(&v2)
	c.anew = true
	if len(v2.GetContext()) == 0 {
		return nil // the library's own: it leaves a joint configuration
	}
	var what change
	if err := json.Unmarshal(v2.GetContext(), &what); err != nil {
		return err
	}
	if what.Join != nil {
		c.machine.AddMember(e.GetIndex(), *what.Join)
	} else {
		c.machine.RemoveMember(e.GetIndex(), what.Leave)
	}
	return nil
}

// snapshot makes a snapshot when enough was applied since the last one.
func (c *Core) snapshot() {
	if c.applied < c.taken+c.cfg.SnapshotEvery && !c.anew {
		return
	}
	c.anew = false
	s, err := c.storage.CreateSnapshot(c.applied, c.conf, c.machine.Snapshot())
	if err != nil {
		c.fail(fmt.Errorf("snapshot: %w", err))
		return
	}
	c.taken = c.applied
	c.pending.Snapshot = s
	if c.applied > c.cfg.KeepEntries {
		first := c.applied - c.cfg.KeepEntries
		if c.storage.Compact(first) == nil { // an error: it is compacted already
			c.pending.First = first + 1
		}
	}
}

func (c *Core) fail(err error) {
	if c.failed == nil {
		c.failed = err
		c.leading = false
		c.drop()
	}
}

// caughtUp tells whether a member has all but the last entries of the log.
func (c *Core) caughtUp(id uint64) bool {
	p, ok := c.node.Status().Progress[id]
	return ok && p.Match > 0 && p.Match+mostBehind >= c.applied
}

// mostBehind the last entry a learner may be that gets its vote.
const mostBehind = 100
