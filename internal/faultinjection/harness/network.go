package harness

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

const (
	// maxDatagram is the protocol's bound on a datagram between relays, in bytes.
	maxDatagram = 256
	// readBufferSize is larger than maxDatagram, so that a datagram that is too long is read whole and reported with its size.
	readBufferSize = 4096
)

// Datagrams counts the datagrams that the relays sent to one another.
type Datagrams struct {
	Sent   int `json:"sent"`
	Bytes  int `json:"bytes"`
	Lost   int `json:"lost"`
	Halved int `json:"halved"`
}

// path is the direction from one relay to another.
type path struct{ from, to int }

// network carries the relays' datagrams. Each relay has a separate address for every other relay, and a datagram that it sends
// there arrives after a delay, cut in half, or not at all.
type network struct {
	harness   *harness
	paths     [][]*net.UDPConn // paths[a][b] receives relay a's datagrams to relay b, and sends b's datagrams to a
	broadcast []*net.UDPConn   // by relay: receives its datagrams to all others

	mu            sync.Mutex // guards everything below
	total         Datagrams
	sent          map[path]int
	split         []int // the relays on one side; none: no split
	lossShare     float64
	truncateShare float64
}

func newNetwork(h *harness) (*network, error) {
	n := &network{
		harness: h, lossShare: h.scenario.Network.Loss, truncateShare: h.scenario.Network.Halved, sent: map[path]int{},
		paths: make([][]*net.UDPConn, len(h.relays)),
	}
	for a, r := range h.relays {
		if err := n.open(a, r); err != nil {
			n.close()
			return nil, err
		}
	}
	for a := range h.relays {
		n.start(a)
	}
	return n, nil
}

// open opens the sockets that a relay sends to.
func (n *network) open(a int, r *relay) error {
	for range n.paths {
		conn, err := n.harness.loopback.ListenUDP()
		if err != nil {
			return err
		}
		n.paths[a] = append(n.paths[a], conn)
		r.peers = append(r.peers, conn.LocalAddr().String())
	}
	conn, err := n.harness.loopback.ListenUDP()
	if err != nil {
		return err
	}
	n.broadcast = append(n.broadcast, conn)
	r.peersAll = conn.LocalAddr().String()
	return nil
}

// start starts to forward a relay's datagrams, until close.
func (n *network) start(a int) {
	var others []int
	for b := range n.paths {
		n.harness.background.Go(func() { n.forward(a, []int{b}, n.paths[a][b]) })
		if b != a {
			others = append(others, b)
		}
	}
	n.harness.background.Go(func() { n.forward(a, others, n.broadcast[a]) })
}

// forward forwards the datagrams that relay a sends to a socket.
func (n *network) forward(a int, to []int, conn *net.UDPConn) {
	buf := make([]byte, readBufferSize)
	for {
		size, from, err := conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || from.String() != n.harness.relays[a].peer {
			continue // not a datagram of relay a
		}
		if size > maxDatagram {
			n.harness.recordFailure("%s sent a datagram of %d bytes, %d at most", n.harness.relays[a].name, size, maxDatagram)
			continue
		}
		for _, b := range to {
			n.deliver(path{a, b}, slices.Clone(buf[:size]))
		}
	}
}

// deliver delivers a datagram, whole or cut in half, after the network's delay, unless the datagram is lost.
func (n *network) deliver(p path, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.total.Sent++
	n.total.Bytes += len(data)
	n.sent[p]++
	random := n.harness.random.Stream("datagram", p.from, p.to, n.sent[p])
	lost, truncated := random.Float64() < n.lossShare, random.Float64() < n.truncateShare
	if lost || n.separates(p) {
		n.total.Lost++
		return
	}
	if truncated {
		n.total.Halved++
		data = data[:len(data)/2]
	}
	to, err := net.ResolveUDPAddr("udp", n.harness.relays[p.to].peer)
	if err != nil {
		return
	}
	time.AfterFunc(scenario.Milliseconds(n.harness.scenario.Network.Delay.Draw(random)), func() {
		_, _ = n.paths[p.to][p.from].WriteToUDP(data, to) // a datagram to a relay that is not running is lost
	})
}

// separates reports whether the network split separates a path's two relays; the lock is held.
func (n *network) separates(p path) bool {
	return slices.Contains(n.split, p.from) != slices.Contains(n.split, p.to)
}

// setSplit separates some relays, numbered from 1, from the others. An empty list ends the split.
func (n *network) setSplit(numbers []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.split = nil
	for _, number := range numbers {
		n.split = append(n.split, number-1)
	}
}

// setLoss sets the share of datagrams that are lost.
func (n *network) setLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossShare = share
}

// setTruncation sets the share of datagrams that are cut in half.
func (n *network) setTruncation(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.truncateShare = share
}

// counts returns the counts so far.
func (n *network) counts() Datagrams {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.total
}

func (n *network) close() {
	for _, conns := range append(slices.Clone(n.paths), n.broadcast) {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
