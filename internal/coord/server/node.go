package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/coord/disk"
	"frostlink/internal/coord/replica"
)

const (
	tick             = 50 * time.Millisecond
	electionTicks    = 10 // an election starts after 0.5 s to 1 s without a leader
	heartbeatTicks   = 2
	snapshotInterval = 10000 // number of entries; a restart applies at most about this number
	retainedEntries  = 2000
	inboxSize        = 4096
	// maxBatchEvents bounds the events that are handled before the resulting changes are saved. One
	// sync of the disk serves all of them.
	maxBatchEvents = 1024
	// transferTimeout is how long a stopping leader waits for another member to become the leader.
	transferTimeout = 500 * time.Millisecond
)

// Keys of log attributes that only the coordination service uses.
const (
	keyLeader  = "leader"
	keyLeading = "leading"
)

// Node is a running member. Only the goroutine of Run accesses core and the fields after it.
type Node struct {
	identity disk.Identity
	log      *slog.Logger
	inbox    chan func()
	done     chan struct{} // closed when the loop has ended

	core    *replica.Core
	store   *disk.Store
	peers   *peers
	pending map[uint64]chan<- replica.Completion // by tag
	lastTag uint64
	hints   map[uint64]chan struct{} // by session
}

// New opens a member's folder and starts its core. The stored state does not change before Run.
// addressOverrides are addresses by member id, which take precedence over the addresses in the
// replicated state.
func New(dir string, addressOverrides map[uint64]string, log *slog.Logger) (*Node, error) {
	store, identity, state, err := disk.Open(dir)
	if err != nil {
		return nil, err
	}
	core, err := replica.New(replica.Config{
		Cluster: identity.Cluster, ID: identity.ID, Peers: identity.Peers, Seed: rand.Uint64(), Nonce: rand.Uint64(),
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		SnapshotInterval: snapshotInterval, RetainedEntries: retainedEntries,
	}, state)
	if err != nil {
		_ = store.Close()
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	joinAddresses := map[uint64]string{}
	for i, peer := range identity.Peers {
		joinAddresses[peer] = identity.PeerAddresses[i]
	}
	return &Node{
		identity: identity, log: log, inbox: make(chan func(), inboxSize), done: make(chan struct{}),
		core: core, store: store, peers: newPeers(joinAddresses, addressOverrides),
		pending: map[uint64]chan<- replica.Completion{}, hints: map[uint64]chan struct{}{},
	}, nil
}

// Identity returns the identity of the node's member.
func (n *Node) Identity() disk.Identity { return n.identity }

// Run runs the event loop until its context ends. An error means that the member can't continue.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.store.Close() }() // an error is harmless: every batch is synced already
	defer n.peers.close()
	defer close(n.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var leadership leadershipLog
	for {
		select {
		case <-ctx.Done():
			n.transferLeadership()
			return nil
		case event := <-n.inbox:
			event()
		case <-ticker.C:
			n.core.Tick()
			n.core.AdvanceTime(clock.SinceBoot(), clock.WallMilliseconds())
		}
		n.handleQueued()
		if err := n.processReady(); err != nil {
			return err
		}
		leadership.update(n)
	}
}

// handleQueued handles the events that are queued already, up to maxBatchEvents.
func (n *Node) handleQueued() {
	for range maxBatchEvents {
		select {
		case event := <-n.inbox:
			event()
		default:
			return
		}
	}
}

// processReady runs rounds of the core until there is nothing to do. It reads the clock after the
// events were handled, as ProcessReady requires.
func (n *Node) processReady() error {
	for {
		more, err := n.core.ProcessReady(clock.SinceBoot(), clock.WallMilliseconds(), n.store.Save, n.send)
		if err != nil || !more {
			return err
		}
	}
}

// send sends the output of a round.
func (n *Node) send(out replica.Output) {
	if len(out.Messages) > 0 {
		members := n.core.Machine().Members()
		for _, e := range out.Messages {
			n.peers.send(e.To, members, e.Encode())
		}
	}
	for _, c := range out.Completions {
		n.complete(c)
	}
	for _, session := range out.ChangedSessions {
		n.hint(session)
	}
}

// transferLeadership tries to pass leadership to another member before this one stops, and waits at
// most transferTimeout for that.
func (n *Node) transferLeadership() {
	leading, _ := n.core.Leadership()
	if !leading {
		return
	}
	n.core.TransferLeadership()
	timeout := time.NewTimer(transferTimeout)
	defer timeout.Stop()
	for leading {
		if n.processReady() != nil {
			return
		}
		select {
		case event := <-n.inbox:
			event()
		case <-timeout.C:
			return
		}
		leading, _ = n.core.Leadership()
	}
	_ = n.processReady() // an error has no effect: the member stops in any case
}

// leadershipLog logs leadership changes.
type leadershipLog struct {
	leading bool
	leader  uint64
}

func (l *leadershipLog) update(n *Node) {
	leading, leader := n.core.Leadership()
	if leading == l.leading && leader == l.leader {
		return
	}
	l.leading, l.leader = leading, leader
	n.log.Info("leader changed", keyLeader, leader, keyLeading, leading)
}
