package stage

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is a call that a host has got whole.
type Call struct {
	Host string
	ID   string
	Key  string
	At   time.Duration
}

// Answer is what a host does with a call that it has begun.
type Answer int

// The answers.
const (
	Delivered Answer = iota // 200 after the host's service time
	Full                    // 503: turned away at once, not begun
	Die                     // the host's process dies: its connections are reset, and new ones are refused
)

// Host is an endpoint of a destination.
type Host struct {
	Name string
	Addr string

	stage    *Stage
	service  func() time.Duration // returns the time to serve a call that begins now
	listener net.Listener
	answer   func(c Call) Answer

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// Takes returns a service time that is always the same.
func Takes(t time.Duration) func() time.Duration { return func() time.Duration { return t } }

// StartHost starts a host. answer is called for each call whose last byte has come.
func (s *Stage) StartHost(name string, service func() time.Duration, answer func(c Call) Answer) *Host {
	h := &Host{Name: name, service: service, stage: s, listener: s.Listen(), answer: answer, conns: map[net.Conn]bool{}}
	h.Addr = h.listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", h.serve)
	server := &http.Server{Handler: mux, IdleTimeout: 15 * time.Second, ConnState: h.track}
	s.AtEnd(func() { _ = server.Close() })
	go func() { _ = server.Serve(h.listener) }()
	return h
}

// track notes the open connections.
func (h *Host) track(c net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateNew:
		h.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the call's last byte has not come
	}
	c := Call{Host: h.Name, ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"), At: h.stage.Now()}
	switch h.answer(c) {
	case Delivered:
		time.Sleep(h.service())
		h.stage.Record("host %s answers call %s: 200", h.Name, c.ID)
		w.WriteHeader(http.StatusOK)
	case Full:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Die:
		h.die()
		panic(http.ErrAbortHandler)
	}
}

// die closes the host's listener and resets its connections, as the death of its process does.
func (h *Host) die() {
	h.stage.Record("host %s dies", h.Name)
	_ = h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset
		}
		_ = c.Close()
	}
}
