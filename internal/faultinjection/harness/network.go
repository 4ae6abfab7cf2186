package harness

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// maxDatagram is the longest datagram between relays, in bytes.
const maxDatagram = 256

// Datagrams are what relays sent one another.
type Datagrams struct {
	Sent   int `json:"sent"`
	Bytes  int `json:"bytes"`
	Lost   int `json:"lost"`
	Halved int `json:"halved"`
}

// network lies between the relays: each sees every other under an address of its own, and what it sends there
// arrives late, in half, or not at all.
type network struct {
	h             *harness
	mu            sync.Mutex
	paths         [][]*net.UDPConn // paths[a][b] is where relay a reaches relay b, and from where b's datagrams come to a
	all           []*net.UDPConn   // where a relay reaches all others
	total         Datagrams
	split         []int // relays on one side; none: all are together
	lossShare     float64
	truncateShare float64
	turn          map[[2]int]int
}

func newNetwork(r *harness) (*network, error) {
	n := &network{
		h: r, lossShare: r.scenario.Network.Loss, truncateShare: r.scenario.Network.Halved, turn: map[[2]int]int{},
		paths: make([][]*net.UDPConn, len(r.relays)),
	}
	for a, rel := range r.relays {
		for range r.relays {
			c, err := r.loopback.ListenUDP()
			if err != nil {
				n.close()
				return nil, err
			}
			n.paths[a] = append(n.paths[a], c)
			rel.peers = append(rel.peers, c.LocalAddr().String())
		}
		c, err := r.loopback.ListenUDP()
		if err != nil {
			n.close()
			return nil, err
		}
		n.all = append(n.all, c)
		rel.peersAll = c.LocalAddr().String()
	}
	for a := range r.relays {
		for b := range r.relays {
			r.background.Go(func() { n.carry(a, []int{b}, n.paths[a][b]) })
		}
		others := make([]int, 0, len(r.relays))
		for b := range r.relays {
			if b != a {
				others = append(others, b)
			}
		}
		r.background.Go(func() { n.carry(a, others, n.all[a]) })
	}
	return n, nil
}

// carry takes what relay a sends to an address and passes it on.
func (n *network) carry(a int, to []int, at *net.UDPConn) {
	buf := make([]byte, 4096)
	for {
		size, from, err := at.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || from.String() != n.h.relays[a].peer {
			continue // nobody else is on this network
		}
		if size > maxDatagram {
			n.h.recordFailure("%s sent a datagram of %d bytes, %d at most", n.h.relays[a].name, size, maxDatagram)
			continue
		}
		for _, b := range to {
			n.pass(a, b, slices.Clone(buf[:size]))
		}
	}
}

// pass brings a datagram to a relay, or not.
func (n *network) pass(a, b int, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.total.Sent++
	n.total.Bytes += len(data)
	pair := [2]int{a, b}
	n.turn[pair]++
	chance := n.h.random.Stream("datagram", a, b, n.turn[pair])
	lost, halved := chance.Float64() < n.lossShare, chance.Float64() < n.truncateShare
	if len(n.split) > 0 && slices.Contains(n.split, a) != slices.Contains(n.split, b) {
		lost = true
	}
	if lost {
		n.total.Lost++
		return
	}
	if halved {
		n.total.Halved++
		data = data[:len(data)/2]
	}
	to, err := net.ResolveUDPAddr("udp", n.h.relays[b].peer)
	if err != nil {
		return
	}
	time.AfterFunc(scenario.Milliseconds(n.h.scenario.Network.Delay.Draw(chance)), func() {
		_, _ = n.paths[b][a].WriteToUDP(data, to) // nobody there: lost
	})
}

// set changes what the network does.
func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *network) sum() Datagrams {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.total
}

func (n *network) close() {
	for _, list := range slices.Concat(n.paths, [][]*net.UDPConn{n.all}) {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
