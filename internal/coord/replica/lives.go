package replica

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// MostLives is how many lives a member remembers: one that was started so often while another could not be reached is
// taken for one with an old disk by that one.
const MostLives = 1024

// encodeLives gives lives as 16 bytes each, big endian.
func encodeLives(list []Life) []byte {
	raw := make([]byte, 0, 16*len(list))
	for _, l := range list {
		raw = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(raw, l.Number), l.Nonce)
	}
	return raw
}

func decodeLives(raw []byte) (list []Life) {
	for ; len(raw) >= 16; raw = raw[16:] {
		list = append(list, Life{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])})
	}
	return list
}

// helloTicks is between announcements to a member that has not confirmed this life.
const helloTicks = 5

// lives is what a member knows of its own life and those of the others. A member votes, campaigns and confirms only
// once its life is on the disks of so many others that they and it are a majority.
type lives struct {
	life    Life
	past    []Life // those of this member, this one last
	marks   map[uint64]Life
	reached map[uint64]bool // others that have this life on disk
	cleared bool
	ticks   int
}

func (l *lives) begin(cfg Config, disk Disk) {
	l.life = Life{Number: 1, Nonce: cfg.Nonce}
	past := disk.Lives
	if n := len(past); n > 0 {
		l.life.Number = past[n-1].Number + 1
		past = past[max(0, n+1-MostLives):]
	}
	l.past = append(past[:len(past):len(past)], l.life)
	l.marks = maps.Clone(disk.Marks)
	if l.marks == nil {
		l.marks = map[uint64]Life{}
	}
	l.reached = map[uint64]bool{}
}

// others gives the members that are to know this one's life, and how many of them have to before it takes part.
func (c *Core) others(conf *raftpb.ConfState) (ids []uint64, need int) {
	voters := slices.Concat(conf.GetVoters(), conf.GetVotersOutgoing())
	if len(voters) == 0 {
		voters = c.cfg.Peers
	}
	slices.Sort(voters)
	voters = slices.Compact(voters)
	need = len(voters)/2 + 1
	if slices.Contains(voters, c.cfg.ID) {
		need--
	}
	for _, id := range slices.Concat(voters, conf.GetLearners()) {
		if id != c.cfg.ID {
			ids = append(ids, id)
		}
	}
	return ids, need
}

// announce tells the members that have not confirmed it of this life.
func (c *Core) announce(conf *raftpb.ConfState) {
	ids, need := c.others(conf)
	reached := 0
	for _, id := range ids {
		if c.reached[id] {
			if !slices.Contains(conf.GetLearners(), id) {
				reached++
			}
			continue
		}
		c.send(Envelope{To: id, Kind: Hello, Body: encodeLives(c.past)})
	}
	if !c.cleared && reached >= need {
		c.cleared = true
	}
}

func (c *Core) reannounce(conf *raftpb.ConfState) {
	if c.ticks++; c.ticks%helloTicks == 0 {
		c.announce(conf)
	}
}

func (c *Core) send(e Envelope) {
	e.Cluster, e.From, e.Life = c.cfg.Cluster, c.cfg.ID, c.life
	c.outbox = append(c.outbox, e)
}

// post sends a message of the consensus.
func (c *Core) post(m *raftpb.Message) {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("replica: a message that can't be encoded: %v", err)) // the library made it
	}
	if m.GetType() == raftpb.MsgSnap {
		// Whether it arrives is not watched: the library goes on probing, and sends another one if need be.
		c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	c.send(Envelope{To: m.GetTo(), Kind: Raft, Body: raw})
}

// Receive takes a message of another member.
func (c *Core) Receive(e Envelope) {
	if c.failed != nil || e.Cluster != c.cfg.Cluster || e.To != c.cfg.ID || e.From == c.cfg.ID || e.From == 0 {
		return
	}
	if e.Kind == Welcome || e.Kind == Outdated {
		c.told(e)
		return
	}
	mark := c.marks[e.From]
	switch {
	case e.Life == mark:
	case e.Life.after(mark) && e.Kind != Hello:
		return // it announces this life until it is told that it is known
	case e.Life.after(mark) && (mark == Life{} || slices.Contains(decodeLives(e.Body), mark)):
		c.marks[e.From] = e.Life
		if c.pending.Marks == nil {
			c.pending.Marks = map[uint64]Life{}
		}
		c.pending.Marks[e.From] = e.Life
	default:
		// It is late, or its disk does not know the life that is known here.
		c.send(Envelope{To: e.From, Kind: Outdated, Of: mark})
		return
	}
	if e.Kind == Hello {
		c.send(Envelope{To: e.From, Kind: Welcome, Of: e.Life})
		return
	}
	c.step(e)
}

// told takes another member's word of this one's lives. It counts whatever the other's own life is: a member whose disk
// was set back does not know that one.
func (c *Core) told(e Envelope) {
	switch {
	case e.Kind == Welcome && e.Of == c.life:
		c.reached[e.From] = true
		if !c.cleared {
			c.announce(c.conf)
		}
	case e.Kind == Outdated && !slices.Contains(c.past, e.Of):
		c.fail(fmt.Errorf("this member's disk is old or was lost: member %d knows its life %d, and this is life %d of the disk; "+
			"remove it, and let a new one join under another id", e.From, e.Of.Number, c.life.Number))
	}
}

// step gives a message of the consensus to it.
func (c *Core) step(e Envelope) {
	var m raftpb.Message
	if !c.cleared || proto.Unmarshal(e.Body, &m) != nil || m.GetFrom() != e.From || m.GetTo() != c.cfg.ID {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= c.term {
			c.quiet = 0
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgReadIndexResp:
		return // members forward nothing
	}
	_ = c.node.Step(&m) // an error: the sender is no member (any more), or leads no more
}
