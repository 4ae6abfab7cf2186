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
	electionTicks    = 10 // an election after half a second to a second without a leader
	heartbeatTicks   = 2
	snapshotInterval = 10000 // entries: a restart reads at most so many
	retainedEntries  = 2000
	inboxSize        = 4096
	// maxBatchEvents bounds the events that are handled before what they led to is saved: one sync
	// serves all of them.
	maxBatchEvents = 1024
	// transferTimeout is how long a leader that stops waits for another one to lead.
	transferTimeout = 500 * time.Millisecond
)

// The keys of log attributes that only the coordination service has.
const (
	keyLeader  = "leader"
	keyLeading = "leading"
)

// Node is a running member. Its loop alone touches the core, and all that is below it here.
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

// New opens a member's folder and starts its core. What the folder holds stays the same until Run.
// addressOverrides are addresses by member that go before those that the cluster knows.
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

// Identity returns which member it is.
func (n *Node) Identity() disk.Identity { return n.identity }

// Run runs the loop until its context ends. An error means that the member can't go on.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.store.Close() }() // every batch is synced already
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

// handleQueued handles the events that have come meanwhile.
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

// processReady runs the core's rounds until there is nothing to do. The clock is read after the
// events were handled.
func (n *Node) processReady() error {
	for {
		more, err := n.core.ProcessReady(clock.SinceBoot(), clock.WallMilliseconds(), n.store.Save, n.send)
		if err != nil || !more {
			return err
		}
	}
}

// send sends what a round has put out.
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

// transferLeadership lets another member lead before this one stops, if that succeeds at once.
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
	_ = n.processReady() // the member stops in any case
}

// leadershipLog logs changes of the leader.
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
