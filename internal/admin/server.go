package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// requestTimeout is how long a caller may take to send its request; a connection whose request is not complete by then is
	// closed. Every complete request is answered within 1 s.
	requestTimeout = 2 * time.Second
	// responseTimeout is how long a caller may take, after that, to read the response.
	responseTimeout = time.Second
	// maxHeaderBytes and maxBodyBytes bound what is read of a request; none needs a body.
	maxHeaderBytes, maxBodyBytes = 4 << 10, 4 << 10
	// defaultShutdownTimeout is how long Close waits for responses that are being written: a graceful shutdown of the relay has
	// 150 ms left by then.
	defaultShutdownTimeout = 100 * time.Millisecond
)

// Relay is what the endpoint reads and controls. Its methods must not block.
type Relay interface {
	// Status reports whether this process serves clients, and names its state.
	Status() (serving bool, state string)
	// Standby stops serving clients. It may be called at any time and again.
	Standby()
	// Active serves clients again. It may be called at any time and again.
	Active()
	// Metrics returns the metrics as JSON.
	Metrics() ([]byte, error)
	// Violations returns how often invariants were violated, by kind.
	Violations() map[string]int64
}

// Server is the HTTP endpoint.
type Server struct {
	relay           Relay
	maxConns        int
	http            http.Server
	shutdownTimeout time.Duration // defaultShutdownTimeout, but in tests

	mu    sync.Mutex // guards conns and the requestRead of each
	conns []*conn    // in the order in which they were accepted
}

// New returns a server that holds at most maxConns connections. A further one takes the place of the oldest that has sent no complete
// request, so that callers that send nothing lock nobody out.
func New(relay Relay, maxConns int) *Server {
	s := &Server{relay: relay, maxConns: maxConns, shutdownTimeout: defaultShutdownTimeout}
	s.http = http.Server{
		Handler:        s.markRequestRead(s.routes()),
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout + responseTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.http.SetKeepAlivesEnabled(false) // one request a connection
	return s
}

// Serve answers requests until the listener is closed, which it returns nil for.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(&limitedListener{l, s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("admin endpoint: %w", err)
}

// Close closes the listener and waits, for shutdownTimeout at most, until the requests that were read have their responses. Against a
// reader of metrics whose connection is reset as the process ends or hands over.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), s.shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
