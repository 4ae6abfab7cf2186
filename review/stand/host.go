package stand

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is a call of a relay to an endpoint.
type Call struct {
	ID, Key string
	Body    []byte
	// Over is closed when the relay has given the call up.
	Over <-chan struct{}
}

// Answer is what an endpoint does with a call.
type Answer struct {
	Status int
	// Header holds further fields.
	Header http.Header
	// Reset ends the connection by a reset, with no answer.
	Reset bool
}

// Host is an endpoint of a destination.
type Host struct {
	Entry
	c       *Case
	handler http.Handler

	mu     sync.Mutex // guards server
	server *http.Server
}

// NewHost starts an endpoint of a destination that takes rate calls a second, and puts it into the platform's list. handle is called when
// the last byte of a call has come.
func NewHost(c *Case, p *Platform, name string, destination int, rate float64, handle func(Call) Answer) *Host {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) { serveCall(w, r, handle) })
	h := &Host{Entry: Entry{Host: name, Site: "a", Class: Kind, Block: destination, Health: "SERVING", Share: rate}, c: c, handler: mux}
	h.Dial = c.freeAddress()
	h.Accept()
	c.atEnd(h.Refuse)
	p.Add(h.Entry)
	return h
}

// Accept has the endpoint accept connections.
func (h *Host) Accept() {
	l, err := net.Listen("tcp", h.Dial)
	h.c.check(err)
	server := &http.Server{Handler: h.handler, IdleTimeout: idleTimeout, ReadHeaderTimeout: time.Minute}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// Refuse has the endpoint close its connections and refuse new ones.
func (h *Host) Refuse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.server.Close()
}

// serveCall has a call handled, and answers it.
func serveCall(w http.ResponseWriter, r *http.Request, handle func(Call) Answer) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer := handle(Call{ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"), Body: body, Over: r.Context().Done()})
	if answer.Reset {
		reset(w)
		return
	}
	for field, values := range answer.Header {
		w.Header()[field] = values
	}
	w.WriteHeader(answer.Status)
}

// reset ends the connection of a request by a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if raw, ok := conn.(*net.TCPConn); ok {
		_ = raw.SetLinger(0)
	}
	_ = conn.Close()
}
