package replica

import (
	"encoding/binary"
	"slices"
	"time"

	"frostlink/internal/coord"
)

// queuedCommand is a command that has not been proposed yet.
type queuedCommand struct {
	tag     uint64
	command coord.Command
}

// pendingRead is a read that has not completed.
type pendingRead struct {
	tag   uint64
	index uint64 // the read completes once this index is applied; 0: no majority has confirmed the leader yet
}

// Propose queues a command for the log. It reports false, and does nothing, if the member is not
// the leader or its queue is full.
func (c *Core) Propose(tag uint64, command coord.Command) bool {
	if !c.leading || c.failed != nil || len(c.queue) >= maxQueuedProposals {
		return false
	}
	c.queue = append(c.queue, queuedCommand{tag, command})
	return true
}

// ReadIndex starts a read, which completes once the state machine is no older than this call. It
// reports false if the member is not the leader or has too many pending reads.
func (c *Core) ReadIndex(tag uint64) bool {
	if !c.leading || c.failed != nil || len(c.reads) >= maxQueuedProposals {
		return false
	}
	c.reads = append(c.reads, pendingRead{tag: tag})
	c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, tag))
	return true
}

// proposeQueued proposes the queued commands, with the time elapsed since the previous entry. The
// clock was read after the commands were received, so a renewal counts from no earlier than the
// time when the client sent it.
func (c *Core) proposeQueued(now time.Duration, wallMillis int64) {
	for c.leading && len(c.queue) > 0 {
		batch := c.queue[:min(len(c.queue), maxBatchCommands)]
		e := coord.Entry{Elapsed: now - c.lastProposal}
		var tags []uint64
		for _, q := range batch {
			e.Commands = append(e.Commands, q.command)
			tags = append(tags, q.tag)
		}
		if !c.proposeEntry(e, wallMillis) {
			// Leadership is being transferred, or too many entries are not committed. The commands stay
			// queued, and complete with OutcomeUnknown if this member stops being the leader.
			return
		}
		c.lastProposal = now
		c.proposed[c.proposalID] = tags
		c.queue = slices.Clone(c.queue[len(batch):])
	}
}

// proposeEntry proposes one entry, and reports whether Raft has accepted it.
func (c *Core) proposeEntry(e coord.Entry, wallMillis int64) bool {
	c.proposalID++
	e.Proposer, e.Incarnation, e.ProposalID, e.WallMillis = c.cfg.ID, c.incarnations.own.Number, c.proposalID, wallMillis
	return c.node.Propose(e.Encode()) == nil
}

// AdvanceTime proposes an entry without commands, which only advances the state machine's time, if
// a session or revoked grant may expire by now and no command is queued. It is to be called several
// times a second.
func (c *Core) AdvanceTime(now time.Duration, wallMillis int64) {
	elapsed := now - c.lastProposal
	if !c.leading || len(c.queue) > 0 || elapsed < c.machine.NextExpiry() {
		return
	}
	if c.proposeEntry(coord.Entry{Elapsed: elapsed}, wallMillis) {
		c.lastProposal = now
	}
}

// completeAllUnknown completes all pending commands and reads as OutcomeUnknown.
func (c *Core) completeAllUnknown() {
	var tags []uint64
	for _, list := range c.proposed {
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
		c.completions = append(c.completions, Completion{Tag: tag, OutcomeUnknown: true})
	}
	clear(c.proposed)
	c.queue, c.reads = nil, nil
}
