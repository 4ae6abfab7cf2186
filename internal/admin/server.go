// Package admin is the operators' door: an address of its own, HTTP/1.1 with one call a connection, on which they
// read status and figures and send clients away or take them again. It reads snapshots and sets a stance: no call waits for
// the relay's loop, for its disk or for a client.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// callTime is how long a caller may take to say what it wants, and answerTime how long it may take to read the
	// answer. Callers that say nothing, or half a call, are closed then; every other is answered within 1 s.
	callTime, answerTime = 2 * time.Second, time.Second
	// maxHead and maxBody bound what is read of a call; no call needs a body.
	maxHead, maxBody = 4 << 10, 4 << 10
	// lastCalls is how long the door's end waits for calls that are being answered: a planned end has 150 ms left by then.
	lastCalls = 100 * time.Millisecond
	// acceptAgain is the pause after a failed accept.
	acceptAgain = 5 * time.Millisecond
)

// Relay is what the door opens to.
type Relay interface {
	// Status tells whether this process takes clients, and where it stands in a word or two.
	Status() (takes bool, state string)
	// Standby sends clients away, and Active takes them again; both may be said at any time, and again.
	Standby()
	Active()
	// Metrics gives the figures as JSON.
	Metrics() ([]byte, error)
	// Violations gives how often invariants were violated, by kind.
	Violations() map[string]int64
}

// Server serves operators.
type Server struct {
	relay Relay
	room  int // connections at most
	http  http.Server
	// lastCalls is for tests to change.
	lastCalls time.Duration

	mu    sync.Mutex
	conns []*caller // in the order in which they came
}

// caller is a connection from an operator.
type caller struct {
	net.Conn
	door  *Server
	asked bool // its call was read: it is answered at once, and never closed to make room; guarded by the door's lock
}

// New makes a door; at most room connections are held. One more takes the place of the oldest that has said no whole call,
// so that callers who say nothing shut nobody out.
func New(relay Relay, room int) *Server {
	d := &Server{relay: relay, room: room, lastCalls: lastCalls}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		takes, state := relay.Status()
		answer(w, takes, state)
	})
	mux.HandleFunc("GET /status/metrics", d.figures)
	mux.HandleFunc("GET /status/invariants", d.violations)
	mux.HandleFunc("POST /standby", func(w http.ResponseWriter, _ *http.Request) { relay.Standby(); answer(w, true, "standing by") })
	mux.HandleFunc("POST /active", func(w http.ResponseWriter, _ *http.Request) { relay.Active(); answer(w, true, "active") })
	d.http = http.Server{
		Handler: d.heard(mux), ReadTimeout: callTime, WriteTimeout: callTime + answerTime, MaxHeaderBytes: maxHead,
		ErrorLog: log.New(io.Discard, "", 0), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, c)
		},
	}
	d.http.SetKeepAlivesEnabled(false) // one call a connection
	return d
}

type callerKey struct{}

// answer says yes or no, and a word on it.
func answer(w http.ResponseWriter, yes bool, word string) {
	text := "yes: "
	if !yes {
		text = "no: "
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, text+word+"\n")
}

func (d *Server) figures(w http.ResponseWriter, _ *http.Request) {
	out, err := d.relay.Metrics()
	if err != nil {
		slog.Error("figures", "err", err)
		answer(w, false, "no figures")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(out, '\n'))
}

// violations answers with the counts of violated invariants as JSON: all are 0 unless the program has a fault.
func (d *Server) violations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"violations": d.relay.Violations()})
}

// heard notes that a call was read, and bounds its body.
func (d *Server) heard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
			d.mu.Lock()
			c.asked = true
			d.mu.Unlock()
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

// Serve answers calls until the listener is closed.
func (d *Server) Serve(l net.Listener) error {
	err := d.http.Serve(&guarded{l, d})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("the operators' door: %w", err)
}

// Close ends the door: calls that are being answered get their answers, within lastCalls. It guards against a read of figures that is
// reset as its process ends, or hands over.
func (d *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), d.lastCalls)
	defer cancel()
	if d.http.Shutdown(ctx) != nil {
		_ = d.http.Close()
	}
}

// guarded is a listener that keeps to the room.
type guarded struct {
	net.Listener
	door *Server
}

// Accept takes the next caller. It fails only when the listener is closed: the want of a descriptor passes.
func (g *guarded) Accept() (net.Conn, error) {
	for {
		raw, err := g.Listener.Accept()
		if err == nil {
			if c := g.door.admit(raw); c != nil {
				return c, nil
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		slog.Warn("operator's call not accepted", "err", err)
		time.Sleep(acceptAgain)
	}
}

// admit makes room for a caller; nil where all that are held are being answered.
func (d *Server) admit(raw net.Conn) *caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) >= d.room {
		oldest := -1
		for i, c := range d.conns {
			if !c.asked {
				oldest = i
				break
			}
		}
		if oldest < 0 {
			_ = raw.Close()
			return nil
		}
		_ = d.conns[oldest].Conn.Close()
		d.conns = append(d.conns[:oldest], d.conns[oldest+1:]...)
	}
	c := &caller{Conn: raw, door: d}
	d.conns = append(d.conns, c)
	return c
}

// Close closes a caller's connection, and gives its place back.
func (c *caller) Close() error {
	c.door.mu.Lock()
	for i, other := range c.door.conns {
		if other == c {
			c.door.conns = append(c.door.conns[:i], c.door.conns[i+1:]...)
			break
		}
	}
	c.door.mu.Unlock()
	return c.Conn.Close()
}
