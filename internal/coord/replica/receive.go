package replica

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Receive handles a message from another member.
func (c *Core) Receive(e Envelope) {
	if c.failed != nil || e.Cluster != c.cfg.Cluster || e.To != c.cfg.ID || e.From == c.cfg.ID || e.From == 0 {
		return
	}
	if e.Kind == KindAcknowledge || e.Kind == KindStale {
		c.handleIncarnationReply(e)
		return
	}
	if !c.acceptIncarnation(e) {
		return
	}
	if e.Kind == KindAnnounce {
		c.send(Envelope{To: e.From, Kind: KindAcknowledge, Subject: e.Incarnation})
		return
	}
	c.stepRaft(e)
}

// stepRaft passes a message of Raft to the library. It is ignored while this incarnation is not
// announced.
func (c *Core) stepRaft(e Envelope) {
	var m raftpb.Message
	if !c.incarnations.announced || proto.Unmarshal(e.Body, &m) != nil || m.GetFrom() != e.From || m.GetTo() != c.cfg.ID {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= c.term {
			c.ticksSinceLeader = 0
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgReadIndexResp:
		return // members forward nothing
	default:
	}
	_ = c.node.Step(&m) // an error: the sender is no member (any more), or leads no more
}

// sendRaft sends a message of Raft.
func (c *Core) sendRaft(m *raftpb.Message) {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("replica: a message that can't be encoded: %v", err)) // the library made it
	}
	if m.GetType() == raftpb.MsgSnap {
		// Whether it arrives is not watched: the library goes on probing, and sends another one if
		// need be.
		c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	c.send(Envelope{To: m.GetTo(), Kind: KindRaft, Body: raw})
}

// send adds a message to the next output.
func (c *Core) send(e Envelope) {
	e.Cluster, e.From, e.Incarnation = c.cfg.Cluster, c.cfg.ID, c.incarnations.own
	c.outbox = append(c.outbox, e)
}
