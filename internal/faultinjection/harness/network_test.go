package harness

import (
	"net"
	"strings"
	"testing"
	"time"
)

// peerSocket is a relay's socket for datagrams, on which the test acts as the relay.
type peerSocket struct {
	*net.UDPConn
	relay int
}

func openPeerSockets(t *testing.T, h *harness) (sockets []peerSocket) {
	t.Helper()
	for i, r := range h.relays {
		addr, err := net.ResolveUDPAddr("udp", r.peer)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.ListenUDP("udp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		sockets = append(sockets, peerSocket{conn, i})
	}
	return sockets
}

func (s peerSocket) send(t *testing.T, to, data string) {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.WriteToUDP([]byte(data), addr); err != nil {
		t.Fatal(err)
	}
}

func (s peerSocket) receive(t *testing.T, want, from string) {
	t.Helper()
	buf := make([]byte, 300)
	_ = s.SetReadDeadline(time.Now().Add(eventTimeout))
	n, sender, err := s.ReadFromUDP(buf)
	if err != nil || string(buf[:n]) != want || sender.String() != from {
		t.Errorf("relay %d received %q from %v, %v; want %q from %s", s.relay+1, buf[:n], sender, err, want, from)
	}
}

// A datagram reaches the relay that it was sent to, and comes from the address that this relay has for the sender. A split of
// the network loses it, and truncation cuts it in half. A datagram that is too long is a failure.
func TestNetwork_DeliversSplitsAndTruncates(t *testing.T) {
	h := newHarnessWithoutRelays(t, loadScenario(t, 50, 5, 3, 1, 4, 4, 1))
	relays, sockets := h.relays, openPeerSockets(t, h)
	sockets[0].send(t, relays[0].peers[2], "one")
	sockets[2].receive(t, "one", relays[2].peers[0])
	sockets[1].send(t, relays[1].peersAll, "all")
	sockets[0].receive(t, "all", relays[0].peers[1])
	sockets[2].receive(t, "all", relays[2].peers[1])
	h.network.setTruncation(1)
	sockets[0].send(t, relays[0].peers[1], "halves")
	sockets[1].receive(t, "hal", relays[1].peers[0])
	h.network.setTruncation(0)
	h.network.setSplit([]int{1})
	sockets[0].send(t, relays[0].peers[1], "cut off")
	sockets[2].send(t, relays[2].peers[1], "same side")
	sockets[1].receive(t, "same side", relays[1].peers[2])
	sockets[0].send(t, relays[0].peers[1], strings.Repeat("x", maxDatagram+1))
	waitUntil(t, "the datagram that is too long is recorded as a failure", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.failures) == 1
	})
	if n := h.network.counts(); n.Lost != 1 || n.Halved != 1 || n.Sent != 6 {
		t.Errorf("counted %+v, want 6 sent, 1 lost, 1 halved", n)
	}
}
