package faults

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is how much a proxy forwards at once, in bytes.
	chunkSize = 16 << 10
	// dialTimeout is how long a proxy tries to reach its target.
	dialTimeout = 2 * time.Second
)

// Direction is a direction of traffic through a proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
	directions // their number
)

// Proxy forwards TCP connections to one address, unchanged unless it is told otherwise.
type Proxy struct {
	listener net.Listener
	target   string
	closing  chan struct{}  // closed by Close: nothing is held any more
	work     sync.WaitGroup // all its goroutines

	mu     sync.Mutex // guards what is below
	links  [directions]link
	conns  map[net.Conn]struct{}
	held   int // chunks, and new connections, that a partition may be holding
	closed bool
}

// link is how a proxy treats one direction.
type link struct {
	delay      time.Duration
	partitions int           // faults that partition it now
	healed     chan struct{} // closed while there are none
}

// NewProxy starts a proxy for a target, on an address of a run.
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

// Partition holds all traffic in one direction until it is healed. Nothing is lost: it arrives late, as after TCP's
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

// IsHolding reports whether something waits for a partition to be healed.
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
			_ = tcp.SetLinger(0) // it may be closed already
		}
		_ = c.Close()
	}
}

// Close ends the proxy, and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	close(p.closing)
	_ = p.listener.Close()
	p.ResetConnections()
	p.work.Wait()
}

// add keeps a connection for resets. It closes it and returns false if the proxy is closed.
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
	_ = c.Close() // what it carried was written, or is cut off on purpose
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
			continue // one connection less: its client dials again
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

// hold waits while a direction is partitioned, and for its delay. It returns false if the proxy was closed meanwhile.
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
func (p *Proxy) forward(d Direction, from io.Reader, to io.Writer) {
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			if !p.hold(d) {
				return
			}
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				p.hold(d) // the end of a stream does not overtake what a partition holds
			}
			return
		}
	}
}
