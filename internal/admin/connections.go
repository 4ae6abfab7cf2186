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

// acceptRetryDelay is the pause after a failed accept, for example when the process has no file descriptors left.
const acceptRetryDelay = 5 * time.Millisecond

// conn is a connection from an operator.
type conn struct {
	net.Conn
	server      *Server
	requestRead bool // the request was read; it is answered at once, so admit does not close this connection; guarded by server.mu
}

// connKey is the key of the request's *conn in its context.
type connKey struct{}

// markRequestRead marks the connection of a request that was read, and limits the size of the request's body.
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

// limitedListener is a listener that enforces the server's limit on connections.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that the limit admits. It fails only when the listener is closed: any other error is temporary
// and must not stop the endpoint.
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
		slog.Warn("accept of an admin connection failed; retrying", logkey.Err, err)
		time.Sleep(acceptRetryDelay)
	}
}

// admit adds a connection. At the limit it closes the oldest connection whose request is not complete. If the requests of all
// connections are complete, it closes the new connection and returns nil.
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

// remove removes a connection from the list.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// Close closes the connection and removes it from the server's list.
func (c *conn) Close() error {
	c.server.remove(c)
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("admin connection: %w", err)
	}
	return nil
}
