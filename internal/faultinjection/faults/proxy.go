package faults

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is the largest number of bytes that a proxy forwards at once.
	chunkSize = 16 << 10
	// dialTimeout bounds the time to connect to a proxy's target.
	dialTimeout = 2 * time.Second
)

// Direction is a direction of traffic through a proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
	directions // number of directions
)

// Proxy forwards TCP connections to one address. Its methods partition and delay the traffic, reset the connections, and write responses
// twice.
type Proxy struct {
	listener net.Listener
	target   string
	closing  chan struct{}  // closed by Close, which ends all waits for a partition
	work     sync.WaitGroup // all goroutines of the proxy

	mu     sync.Mutex // guards the fields below
	links  [directions]link
	conns  map[net.Conn]struct{}
	copies *responseCopies // nil: no response is written twice
	held   int             // number of chunks and new connections that wait until their direction is not partitioned
	closed bool
}

// link is the state of one direction of a proxy.
type link struct {
	delay      time.Duration
	partitions int           // number of faults that partition the direction at present
	healed     chan struct{} // closed while partitions is 0
}

// NewProxy starts a proxy for a target, on a new address of the run's loopback network.
func NewProxy(l *Loopback, target string) (*Proxy, error) {
	listener, err := l.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, closing: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	for i := range p.links {
		p.links[i].healed = make(chan struct{})
		close(p.links[i].healed)
	}
	p.work.Go(p.serve)
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Partition holds all traffic in one direction until the partition is healed. No traffic is lost: it arrives late, as after TCP
// retransmissions.
func (p *Proxy) Partition(d Direction) (heal func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.links[d]
	if l.partitions++; l.partitions == 1 {
		l.healed = make(chan struct{})
	}
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if l.partitions--; l.partitions == 0 {
			close(l.healed)
		}
	})
}

// IsHolding reports whether the proxy holds traffic or a new connection because of a partition.
func (p *Proxy) IsHolding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held > 0
}

// SetDelay delays all traffic in one direction.
func (p *Proxy) SetDelay(d Direction, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[d].delay = delay
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection may be closed already
		}
		_ = c.Close()
	}
}

// Close closes the proxy and its connections, and waits until its goroutines have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	close(p.closing)
	_ = p.listener.Close()
	p.ResetConnections()
	p.work.Wait()
}

// add registers a connection, so that ResetConnections resets it. If the proxy is closed, add closes the connection and returns false.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c net.Conn) {
	_ = c.Close() // the connection's data was forwarded, or is dropped on purpose
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the connection is lost; the client dials again
		}
		p.work.Go(func() { p.proxy(conn) })
	}
}

// proxy forwards one connection until one of its directions ends.
func (p *Proxy) proxy(client net.Conn) {
	if !p.add(client) {
		return
	}
	defer p.remove(client)
	if !p.hold(ToTarget) {
		return
	}
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil || !p.add(target) {
		return
	}
	defer p.remove(target)
	ended := make(chan struct{}, directions)
	p.work.Go(func() {
		p.forward(ToTarget, client, target)
		ended <- struct{}{}
	})
	p.work.Go(func() {
		p.forward(FromTarget, target, client)
		ended <- struct{}{}
	})
	<-ended
}

// hold waits until a direction is not partitioned, and then for the direction's delay. It returns false if the proxy was closed
// meanwhile.
func (p *Proxy) hold(d Direction) bool {
	p.mu.Lock()
	l := p.links[d]
	p.held++
	p.mu.Unlock()
	isOpen := true
	select {
	case <-l.healed:
	case <-p.closing:
		isOpen = false
	}
	p.mu.Lock()
	p.held--
	p.mu.Unlock()
	if isOpen && l.delay > 0 {
		time.Sleep(l.delay)
	}
	return isOpen
}

// forward copies one direction of a connection.
func (p *Proxy) forward(d Direction, from, to net.Conn) {
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if n > 0 && !p.forwardChunk(d, to, chunk[:n]) {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				p.hold(d) // a partition also holds the end of the stream, so that the receiver does not notice the end until the partition is healed
			}
			return
		}
	}
}

// forwardChunk writes a chunk once its direction is not partitioned. It reports false if the chunk could not be written.
func (p *Proxy) forwardChunk(d Direction, to net.Conn, chunk []byte) bool {
	if !p.hold(d) {
		return false
	}
	if _, err := to.Write(chunk); err != nil {
		return false
	}
	if d == FromTarget {
		p.copyResponse(to, chunk)
	}
	return true
}
