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
	// loopbackPort is the port of every address of a run. It is below the range from which Linux assigns ports to connections and to
	// listeners that request no particular port (ip_local_port_range, from 32768), so that no other program is assigned it by chance.
	loopbackPort = 20011
	// hostsPerBlock is the number of addresses used in each block 127.N.B.0/24: the last byte is 1 to 250, never 0 or 255.
	hostsPerBlock = 250
	// hostBlocks is the number of blocks of a network, 0 to 254, that are used for addresses. Block 255 contains the address of the
	// lock.
	hostBlocks = 255
)

// Loopback is a network of loopback addresses that is reserved for one run until it is closed. Each address is assigned only once, so
// that no other process of any run takes it. A process can therefore bind the address in its configuration long after the
// configuration was written, and bind it again after a restart.
type Loopback struct {
	lock    net.Listener // bound to a fixed address of the network; the process that has bound it owns the network
	network byte

	mu   sync.Mutex // guards used
	used int        // addresses assigned so far
}

// NewLoopback reserves a network that no other run on the machine uses. The reservation is a bound socket: it is valid in the same
// kernel network namespace as the addresses, and the kernel releases it when the process ends, even by a crash.
func NewLoopback() (*Loopback, error) {
	const networks = lastNetwork - firstNetwork + 1
	first := rand.IntN(networks) // not from the run's seed: several runs with one seed may execute at the same time
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

// Address returns an address of the network, as HOST:PORT for TCP or UDP, that has not been assigned before.
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

// Listen listens for TCP connections on a new address of the network.
func (l *Loopback) Listen() (net.Listener, error) {
	address, err := l.Address()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on the run's loopback network: %w", err)
	}
	return ln, nil
}

// ListenUDP opens a UDP socket on a new address of the network.
func (l *Loopback) ListenUDP() (*net.UDPConn, error) {
	address, err := l.Address()
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve the loopback address %s: %w", address, err)
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
