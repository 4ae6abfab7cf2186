// Package server is the I/O round a member of the coordination service: its loop, its disk, its connections.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/coord"
	"frostlink/internal/coord/disk"
	"frostlink/internal/coord/replica"
)

const (
	tick           = 50 * time.Millisecond
	electionTicks  = 10 // an election after half a second to a second without a leader
	heartbeatTicks = 2
	snapshotEvery  = 10000 // entries: a restart reads at most so many
	keepEntries    = 2000
	inboxRoom      = 4096
	// mostAtOnce events are taken before what they led to is written: one sync serves all of them.
	mostAtOnce = 1024
)

// Node is a running member. Its loop alone touches the core.
type Node struct {
	core  *replica.Core
	disk  *disk.Store
	id    disk.Identity
	log   *slog.Logger
	inbox chan func()
	done  chan struct{} // closed when the loop has ended
	peers *peers

	answers map[uint64]chan<- replica.Completion
	tag     uint64
	hints   map[uint64]chan struct{} // by session: holds one hint until it is waited for
}

// New opens a member's folder and starts its core. What the folder holds is the same until Run.
func New(dir string, reach map[uint64]string, log *slog.Logger) (*Node, error) {
	d, id, state, err := disk.Open(dir)
	if err != nil {
		return nil, err
	}
	core, err := replica.New(replica.Config{
		Cluster: id.Cluster, ID: id.ID, Peers: id.Peers, Seed: rand.Uint64(), Nonce: rand.Uint64(),
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, SnapshotInterval: snapshotEvery, RetainedEntries: keepEntries,
	}, state)
	if err != nil {
		_ = d.Close()
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	known := map[uint64]string{}
	for i, peer := range id.Peers {
		known[peer] = id.PeerAddresses[i]
	}
	return &Node{
		core: core, disk: d, id: id, log: log, inbox: make(chan func(), inboxRoom), done: make(chan struct{}),
		peers: newPeers(known, reach), answers: map[uint64]chan<- replica.Completion{}, hints: map[uint64]chan struct{}{},
	}, nil
}

// Identity says which member it is.
func (n *Node) Identity() disk.Identity { return n.id }

// Run runs the loop until its context ends. An error means that the member can't go on.
func (n *Node) Run(ctx context.Context) error {
	defer n.disk.Close()
	defer n.peers.close()
	defer close(n.done)
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	var led, leads bool
	var was, leader uint64
	for {
		select {
		case <-ctx.Done():
			n.handOn()
			return nil
		case do := <-n.inbox:
			do()
		case <-ticks.C:
			n.core.Tick()
			n.core.AdvanceTime(clock.SinceBoot(), clock.WallMilliseconds())
		}
	more:
		for range mostAtOnce {
			select {
			case do := <-n.inbox:
				do()
			default:
				break more
			}
		}
		if err := n.rounds(); err != nil {
			return err
		}
		if leads, leader = n.core.Leadership(); leads != led || leader != was {
			led, was = leads, leader
			n.log.Info("leader", "member", leader, "this one", leads)
		}
	}
}

// rounds lets the core go on until there is nothing to do. The clock is read after the events were taken.
func (n *Node) rounds() error {
	for {
		more, err := n.core.ProcessReady(clock.SinceBoot(), clock.WallMilliseconds(), n.disk.Save, n.send)
		if err != nil || !more {
			return err
		}
	}
}

// handOn lets another member lead before this one ends, if that is done at once.
func (n *Node) handOn() {
	leads, _ := n.core.Leadership()
	if !leads {
		return
	}
	n.core.TransferLeadership()
	until := time.NewTimer(500 * time.Millisecond)
	defer until.Stop()
	for leads {
		if n.rounds() != nil {
			return
		}
		select {
		case do := <-n.inbox:
			do()
		case <-until.C:
			return
		}
		leads, _ = n.core.Leadership()
	}
	_ = n.rounds()
}

// send lets out what a round put out.
func (n *Node) send(out replica.Output) {
	if len(out.Messages) > 0 {
		members := n.core.Machine().Members()
		for _, e := range out.Messages {
			n.peers.send(e.To, members, e.Encode())
		}
	}
	for _, a := range out.Completions {
		if to := n.answers[a.Tag]; to != nil {
			delete(n.answers, a.Tag)
			to <- a // has room for it
		}
	}
	for _, session := range out.ChangedSessions {
		n.hint(session)
	}
}

// hint wakes who waits for a session's hints, or the next who does.
func (n *Node) hint(session uint64) {
	c := n.waiter(session)
	select {
	case c <- struct{}{}:
	default: // one is there already
	}
}

func (n *Node) waiter(session uint64) chan struct{} {
	c := n.hints[session]
	if c == nil {
		if len(n.hints) >= 2*coord.MaxSessions {
			clear(n.hints) // of sessions that are long over, for the most part; hints may be lost
		}
		c = make(chan struct{}, 1)
		n.hints[session] = c
	}
	return c
}

// do has the loop do something, and waits until it is done. It is false where the member or the caller is gone.
func (n *Node) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case n.inbox <- func() { f(); close(done) }:
	case <-n.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-n.done:
		return false
	}
}

// ask submits something to the core under a new tag and waits for its answer. It is false where the member does not
// lead; the answer is lost where it ends first.
func (n *Node) ask(ctx context.Context, submit func(tag uint64) bool) (replica.Completion, bool) {
	answer := make(chan replica.Completion, 1)
	taken := false
	if !n.do(ctx, func() {
		n.tag++
		if taken = submit(n.tag); taken {
			n.answers[n.tag] = answer
		}
	}) || !taken {
		return replica.Completion{}, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
	case <-n.done:
	}
	return replica.Completion{OutcomeUnknown: true}, true
}
