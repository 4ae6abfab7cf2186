package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"frostlink/review/stage"
)

// call is a call that the dealer has begun to execute.
type call struct {
	id string
	at time.Duration
}

// dealer is a partner system with one host that takes few connections. It drops repeats of a key that it remembers.
type dealer struct {
	stage *stage.Stage
	addr  string

	mu     sync.Mutex // guards the fields below
	full   bool       // it has all the connections that it takes: new ones don't come up, and it closes those in use
	factor int        // by how much it is slower than usual
	runs   map[string][]call
	room   chan struct{} // closed while it is not full
}

// gate is a listener that accepts nothing while the dealer is full.
type gate struct {
	net.Listener
	dealer *dealer
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	g.dealer.mu.Lock()
	room := g.dealer.room
	g.dealer.mu.Unlock()
	<-room
	return c, err //nolint:wrapcheck // net.Listener's contract
}

// startDealer starts a dealer whose listening socket has the shortest queue, so that a new connection does not come up while the dealer
// accepts none.
func startDealer(s *stage.Stage) *dealer {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	s.Check(err, "socket")
	s.Check(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), "bind")
	s.Check(syscall.Listen(fd, 0), "listen")
	file := os.NewFile(uintptr(fd), "dealer")
	l, err := net.FileListener(file)
	s.Check(err, "listener")
	s.Check(file.Close(), "listener")
	room := make(chan struct{})
	close(room)
	d := &dealer{stage: s, addr: l.Addr().String(), factor: 1, runs: map[string][]call{}, room: room}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	s.AtEnd(func() { _ = server.Close() })
	go func() { _ = server.Serve(&gate{l, d}) }()
	return d
}

// fill makes the dealer full, until the returned function is called. The connections of others fill it.
func (d *dealer) fill() (leave func()) {
	const others, tries = 6, 100 * time.Millisecond
	d.mu.Lock()
	d.full, d.room = true, make(chan struct{})
	room := d.room
	d.mu.Unlock()
	var conns []net.Conn
	for range others {
		if c, err := net.DialTimeout("tcp", d.addr, tries); err == nil {
			conns = append(conns, c)
		}
	}
	if len(conns) == others {
		d.stage.Fail("the dealer does not get full")
	}
	d.stage.Record("the dealer has all the connections that it takes")
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.full = false
		close(room)
		d.stage.Record("the dealer takes connections again")
	}
}

func (d *dealer) setFactor(factor int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.factor = factor
	d.stage.Record("the dealer is %d times slower than usual", factor)
}

func (d *dealer) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the call's last byte has not come
	}
	id, key := r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key")
	usual := usualPayment
	if key == "" {
		usual = usualStatus
	}
	d.mu.Lock()
	service := time.Duration(d.factor) * usual
	if d.full {
		w.Header().Set("Connection", "close")
	}
	d.begin(id, key)
	d.mu.Unlock()
	time.Sleep(service)
	d.stage.Record("the dealer answers call %s: 200", id)
	w.WriteHeader(http.StatusOK)
}

// begin executes a call, unless its key is remembered. d.mu is held.
func (d *dealer) begin(id, key string) {
	now := d.stage.Now()
	if key == "" {
		d.stage.Record("the dealer begins call %s", id)
		return
	}
	for _, earlier := range d.runs[key] {
		if now-earlier.at < memory {
			d.stage.Record("the dealer drops call %s: it remembers key %s", id, key)
			return
		}
	}
	d.runs[key] = append(d.runs[key], call{id, now})
	d.stage.Record("the dealer executes call %s, key %s", id, key)
}
