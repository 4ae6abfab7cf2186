// Package faults runs real processes of the coordination service and of relays, with faults between them: proxies that
// delay, cut one way and reset, signals that stop and kill, disks that take nothing more. What is done when comes from
// a seed; what the processes did is written down by a stand-in that they act upon, on one clock, and judged by a
// checker that knows nothing of them.
package faults

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// chunk is how much a proxy carries at once, in bytes.
const chunk = 16 << 10

// Proxy lies between one process and one address of another. It carries both ways, unless it is told otherwise.
type Proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	ways  [2]way // up: from who dials to the target; down: back
	conns map[net.Conn]struct{}
	held  int // pieces that wait for a cut to end, either way
	over  bool
}

// way is how a proxy treats one direction.
type way struct {
	delay time.Duration
	cut   int           // so many faults hold what comes
	free  chan struct{} // closed while nothing holds it
}

// The directions.
const (
	up = iota
	down
)

// NewProxy listens on an address of a run's own, for a target.
func NewProxy(l *Loopback, target string) (*Proxy, error) {
	ln, err := l.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	for i := range p.ways {
		p.ways[i].free = make(chan struct{})
		close(p.ways[i].free)
	}
	go p.serve()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Cut holds all that goes one way until it is undone: it is not lost, and arrives late, as TCP would have it.
func (p *Proxy) Cut(direction int) (undo func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &p.ways[direction]
	if w.cut++; w.cut == 1 {
		w.free = make(chan struct{})
	}
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if w.cut--; w.cut == 0 {
			close(w.free)
		}
	})
}

// Holds tells whether something waits for a cut to end.
func (p *Proxy) Holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held > 0
}

// Delay has all that goes one way take longer.
func (p *Proxy) Delay(direction int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ways[direction].delay = d
}

// Reset ends all connections at once.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	_ = p.ln.Close()
	p.Reset()
}

// add notes a connection. It is false where the proxy has ended.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) serve() {
	for {
		from, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.join(from)
	}
}

// join carries one connection.
func (p *Proxy) join(from net.Conn) {
	if !p.add(from) {
		return
	}
	defer p.remove(from)
	p.hold(up)
	to, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil || !p.add(to) {
		return
	}
	defer p.remove(to)
	done := make(chan struct{}, 2)
	carry := func(direction int, from, to net.Conn) {
		p.carry(direction, from, to)
		done <- struct{}{}
	}
	go carry(up, from, to)
	go carry(down, to, from)
	<-done
}

// hold waits while a direction is cut, and for its delay.
func (p *Proxy) hold(direction int) {
	p.mu.Lock()
	w := p.ways[direction]
	p.held++
	p.mu.Unlock()
	<-w.free
	p.mu.Lock()
	p.held--
	p.mu.Unlock()
	if w.delay > 0 {
		time.Sleep(w.delay)
	}
}

func (p *Proxy) carry(direction int, from, to net.Conn) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(direction)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				p.hold(direction) // an end does not overtake a cut
			}
			return
		}
	}
}
