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

// stepRaft passes a Raft message to the library. Messages are ignored until enough voters have
// acknowledged this incarnation.
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
		return // members do not forward proposals or reads
	default:
	}
	// An error means that the sender is not a member any more, or that members do not send such
	// messages to each other.
	_ = c.node.Step(&m)
}

// sendRaft sends a Raft message.
func (c *Core) sendRaft(m *raftpb.Message) {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("replica: encode Raft message: %v", err)) // can't happen: the library created it
	}
	if m.GetType() == raftpb.MsgSnap {
		// The snapshot is reported as delivered at once, without waiting for its arrival: if it is
		// lost, the library notices by its probes and sends another one.
		c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	c.send(Envelope{To: m.GetTo(), Kind: KindRaft, Body: raw})
}

// send adds a message to the next output.
func (c *Core) send(e Envelope) {
	e.Cluster, e.From, e.Incarnation = c.cfg.Cluster, c.cfg.ID, c.incarnations.own
	c.outbox = append(c.outbox, e)
}
