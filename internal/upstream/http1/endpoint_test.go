package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"frostlink/internal/socket/sockettest"
	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
)

// okResponse is the shortest response that confirms a delivery.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// serveEndpoint starts an endpoint that handles each connection with serve, and returns its address.
func serveEndpoint(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return sockettest.Serve(t, "tcp", sockettest.Loopback, serve)
}

// readRequest reads and discards one request.
func readRequest(in *bufio.Reader) error {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return err
}

// respondWith returns a function that answers every request on a connection with text.
func respondWith(text string) func(net.Conn) {
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			if err := readRequest(in); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func newTestPool() *Pool { return New(time.Second, 10*time.Second, 4) }

// newUnhedgedPool returns a pool that never dials a second connection for an attempt, however slow the machine is: it has capacity
// for one connection.
func newUnhedgedPool() *Pool { return New(time.Second, 10*time.Second, 1) }

// awaitDials waits until every connection of the pool is idle: a dial may end after its attempt.
func (p *Pool) awaitDials(t *testing.T) {
	t.Helper()
	waittest.Until(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		idle := 0
		for _, set := range p.idle {
			idle += len(set.conns)
		}
		return p.size == idle
	})
}

func newTestRequest(addr string) upstream.Request {
	return upstream.Request{
		Target: upstream.Target{Endpoint: "h", Addr: addr}, ID: "m1", IdempotencyKey: "k1", Body: []byte("a\x00b"),
		Timeout: waittest.Long,
	}
}

// dialEndpoint returns a connection that belongs to no pool.
func dialEndpoint(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return raw.(*net.TCPConn)
}
