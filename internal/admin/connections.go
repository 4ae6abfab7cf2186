package admin

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"frostlink/internal/logkey"
)

// acceptRetryDelay is the pause after a failed accept, as when the process has no descriptor left.
const acceptRetryDelay = 5 * time.Millisecond

// conn is a connection from an operator.
type conn struct {
	net.Conn
	server      *Server
	requestRead bool // its request is complete: it is answered at once, so it is never closed for another; guarded by server.mu
}

// connKey is the key of the *conn in a request's context.
type connKey struct{}

// markRequestRead notes on its connection that a request was read, and bounds the request's body.
func (s *Server) markRequestRead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			s.mu.Lock()
			c.requestRead = true
			s.mu.Unlock()
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// limitedListener is a listener that holds to the server's limit on connections.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that there is room for. It fails only when the listener is closed; any other failure passes, and
// must not end the endpoint.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			if c := l.server.admit(raw); c != nil {
				return c, nil
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, fmt.Errorf("accept: %w", err)
		}
		slog.Warn("admin connection not accepted", logkey.Err, err)
		time.Sleep(acceptRetryDelay)
	}
}

// admit adds a connection. At the limit it closes the oldest that has no complete request; where all have one, it closes the new one
// and returns nil.
func (s *Server) admit(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns {
		oldest := slices.IndexFunc(s.conns, func(c *conn) bool { return !c.requestRead })
		if oldest < 0 {
			_ = raw.Close()
			return nil
		}
		_ = s.conns[oldest].Conn.Close()
		s.conns = slices.Delete(s.conns, oldest, oldest+1)
	}
	c := &conn{Conn: raw, server: s}
	s.conns = append(s.conns, c)
	return c
}

// remove takes a connection off the list.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// Close closes the connection and makes room for another.
func (c *conn) Close() error {
	c.server.remove(c)
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("admin connection: %w", err)
	}
	return nil
}
