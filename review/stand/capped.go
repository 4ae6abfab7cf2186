package stand

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// relistenPause is the pause before an endpoint tries again to listen, if its address is not free yet.
const relistenPause = 5 * time.Millisecond

// NewCappedHost starts an endpoint, as NewHost does, that takes a number of connections, and refuses further ones while it holds as many.
func NewCappedHost(c *Case, p *Platform, name string, destination int, rate float64, most int, handle func(Call) Answer) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) { serveCall(w, r, handle) })
	e := Entry{Host: name, Site: "a", Class: Kind, Block: destination, Health: "SERVING", Share: rate}
	l := &cappedListener{address: c.freeAddress(), free: make(chan struct{}, most), closed: make(chan struct{})}
	for range most {
		l.free <- struct{}{}
	}
	e.Dial = l.address
	c.check(l.listen())
	server := &http.Server{Handler: mux, IdleTimeout: idleTimeout, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	c.atEnd(func() { _ = server.Close() })
	p.Add(e)
}

// cappedListener listens only while there is room for a connection.
type cappedListener struct {
	address string
	free    chan struct{} // holds a value for each further connection that there is room for
	closed  chan struct{}

	mu       sync.Mutex // guards the field below
	listener net.Listener
}

// listen listens, unless it does already. The error is net.ErrClosed once the listener is closed.
func (l *cappedListener) listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
	}
	if l.listener != nil {
		return nil
	}
	var err error
	l.listener, err = net.Listen("tcp", l.address)
	if err != nil {
		l.listener = nil
	}
	return err //nolint:wrapcheck // the caller retries, or ends the case with it
}

// stop refuses connections.
func (l *cappedListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// Accept waits until there is room for a connection, and then for the connection.
func (l *cappedListener) Accept() (net.Conn, error) {
	select {
	case <-l.free:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	for err := l.listen(); err != nil; err = l.listen() {
		if errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		time.Sleep(relistenPause)
	}
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	if listener == nil {
		return nil, net.ErrClosed // closed meanwhile
	}
	conn, err := listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // the contract of net.Listener
	}
	if len(l.free) == 0 {
		l.stop()
	}
	return &cappedConn{Conn: conn, listener: l}, nil
}

// Close ends the listener.
func (l *cappedListener) Close() error {
	l.mu.Lock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	l.mu.Unlock()
	l.stop()
	return nil
}

// Addr returns the address.
func (l *cappedListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// cappedConn is a connection that makes room when it is closed.
type cappedConn struct {
	net.Conn
	listener *cappedListener
	once     sync.Once
}

// Close closes the connection.
func (c *cappedConn) Close() error {
	c.once.Do(func() { c.listener.free <- struct{}{} })
	return c.Conn.Close() //nolint:wrapcheck // the contract of net.Conn
}
