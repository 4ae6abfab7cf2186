package faults

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
)

const (
	// firstNetwork to lastNetwork are the values of N in the networks 127.N.0.0/16 that runs reserve. The lower half of
	// 127.0.0.0/8 is left to other programs.
	firstNetwork, lastNetwork = 128, 254
	// loopbackPort is the port of every address of a run. It is below the ports that Linux draws for connections and for
	// listeners without a port (ip_local_port_range, from 32768), so that no other program gets it by chance.
	loopbackPort = 20011
	// hostsPerBlock are the addresses used in each 127.N.B.0/24: the last byte is never 0 or 255.
	hostsPerBlock = 250
	// hostBlocks are the blocks of a network that are used for addresses. The last one, 255, holds the lock.
	hostBlocks = 255
)

// Loopback is a network of loopback addresses that belongs to one run alone until it is closed. Every address of a run is assigned
// once, so a process may bind the one in its configuration long after that was written, and bind it again after a restart: no other
// run takes it.
type Loopback struct {
	lock    net.Listener // bound to a fixed address of the network: whoever holds it has the network
	network byte

	mu   sync.Mutex // guards used
	used int        // addresses assigned so far
}

// NewLoopback reserves a network that no other run on the machine has. The reservation is a bound socket: it has just the scope of the
// addresses, the kernel's network namespace, and ends with the process, however that ends.
func NewLoopback() (*Loopback, error) {
	const networks = lastNetwork - firstNetwork + 1
	first := rand.IntN(networks) // not by the run's seed: runs of one seed may be played side by side
	for i := range networks {
		l := &Loopback{network: byte(firstNetwork + (first+i)%networks)}
		lock, err := net.Listen("tcp", l.address(hostBlocks, 1))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("reserve a loopback network: %w", err)
		}
		l.lock = lock
		return l, nil
	}
	return nil, fmt.Errorf("reserve a loopback network: all %d are in use", networks)
}

// Close releases the network.
func (l *Loopback) Close() error {
	if err := l.lock.Close(); err != nil {
		return fmt.Errorf("release the loopback network 127.%d: %w", l.network, err)
	}
	return nil
}

// Address returns a new address of the run, as HOST:PORT, for TCP or UDP.
func (l *Loopback) Address() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used == hostBlocks*hostsPerBlock {
		return "", fmt.Errorf("the loopback network 127.%d has no address left", l.network)
	}
	block, host := l.used/hostsPerBlock, 1+l.used%hostsPerBlock
	l.used++
	return l.address(block, host), nil
}

// Listen listens for TCP on a new address of the run.
func (l *Loopback) Listen() (net.Listener, error) {
	at, err := l.Address()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, fmt.Errorf("listen on the run's loopback network: %w", err)
	}
	return ln, nil
}

// ListenUDP opens a UDP socket on a new address of the run.
func (l *Loopback) ListenUDP() (*net.UDPConn, error) {
	at, err := l.Address()
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", at)
	if err != nil {
		return nil, fmt.Errorf("loopback address %s: %w", at, err)
	}
	c, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on the run's loopback network: %w", err)
	}
	return c, nil
}

func (l *Loopback) address(block, host int) string {
	return net.JoinHostPort(net.IPv4(127, l.network, byte(block), byte(host)).String(), strconv.Itoa(loopbackPort))
}
