package admin

import (
	"bytes"
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

const (
	// minRequestTime is the time that a connection has to send its request, and its caller to read the response, before another
	// connection may replace it. An operator does both at once.
	minRequestTime = 50 * time.Millisecond
	// maxRoomWait bounds the wait for a replaceable connection, and roomPollInterval is the interval of checks for one.
	maxRoomWait      = 4 * minRequestTime
	roomPollInterval = 2 * time.Millisecond
	// maxRequestLines bounds the lines of a request, each of which takes many times its length once it is parsed.
	maxRequestLines = 64
)

// errTooManyLines is the error of reading a request of more than maxRequestLines lines.
var errTooManyLines = errors.New("request of too many lines")

// conn is a connection from an operator.
type conn struct {
	net.Conn
	server      *Server
	acceptedAt  time.Time
	lines       int  // read so far; a connection carries one request
	requestRead bool // the request was read; it is answered at once, so admit does not close this connection; guarded by server.mu
	// answeredAt is when the response was passed on to be written; zero: it was not. It is guarded by server.mu.
	answeredAt time.Time
}

// Read reads a part of a request.
func (c *conn) Read(p []byte) (int, error) {
	if c.lines > maxRequestLines {
		return 0, errTooManyLines
	}
	n, err := c.Conn.Read(p)
	c.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err //nolint:wrapcheck // readers compare with io.EOF
}

// isReplaceable reports whether another connection may replace this one: it has not sent its request in time, or was answered some
// time ago and its caller does not close it. server.mu is held.
func (c *conn) isReplaceable() bool {
	if !c.requestRead {
		return time.Since(c.acceptedAt) >= minRequestTime
	}
	return !c.answeredAt.IsZero() && time.Since(c.answeredAt) >= minRequestTime
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
			defer func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				c.answeredAt = time.Now()
			}()
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
			l.server.awaitRoom()
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

// awaitRoom waits, at the limit, until a connection is replaceable.
func (s *Server) awaitRoom() {
	for end := time.Now().Add(maxRoomWait); !s.hasRoom() && time.Now().Before(end); {
		time.Sleep(roomPollInterval)
	}
}

func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) < s.maxConns || slices.ContainsFunc(s.conns, (*conn).isReplaceable)
}

// admit adds a connection. At the limit it closes the oldest connection that is replaceable. If there is none, it closes the new
// connection and returns nil.
func (s *Server) admit(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns {
		oldest := slices.IndexFunc(s.conns, (*conn).isReplaceable)
		if oldest < 0 {
			_ = raw.Close()
			return nil
		}
		_ = s.conns[oldest].Conn.Close()
		s.conns = slices.Delete(s.conns, oldest, oldest+1)
	}
	c := &conn{Conn: raw, server: s, acceptedAt: time.Now()}
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
