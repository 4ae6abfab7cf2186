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
	// requestTimeout bounds the time in which a caller sends its request. A connection whose request is not complete by then is
	// closed. Every complete request is answered within 1 s.
	requestTimeout = 2 * time.Second
	// responseTimeout bounds the time after requestTimeout in which a caller reads the response.
	responseTimeout = time.Second
	// maxHeaderBytes and maxBodyBytes limit the size of a request. No request needs a body.
	maxHeaderBytes, maxBodyBytes = 4 << 10, 4 << 10
	// defaultShutdownTimeout bounds the time for which Close waits for responses that are being written. A graceful shutdown of the
	// relay has 150 ms left when it calls Close.
	defaultShutdownTimeout = 100 * time.Millisecond
)

// Relay is the relay that the endpoint observes and controls. Its methods must not block.
type Relay interface {
	// Status reports whether this process serves clients, and the name of its state.
	Status() (serving bool, state string)
	// Standby stops serving clients. It may be called at any time, and more than once.
	Standby()
	// Active serves clients again. It may be called at any time, and more than once.
	Active()
	// Metrics returns the metrics as JSON.
	Metrics() ([]byte, error)
	// Resources returns the connections by state, why connections were closed, and the memory by owner, as JSON.
	Resources() ([]byte, error)
	// Violations returns the number of violations of invariants, by kind.
	Violations() map[string]int64
	// ExtraResponses returns the number of responses that nobody asked for, by endpoint and by how they were noticed.
	ExtraResponses() map[string]map[string]int
	// DoubtfulResponses returns the number of responses that could not be told from another request's, by endpoint and by reason.
	DoubtfulResponses() map[string]map[string]int
}

// Server is the HTTP endpoint.
type Server struct {
	relay           Relay
	maxConns        int
	http            http.Server
	shutdownTimeout time.Duration // defaultShutdownTimeout, except in tests

	mu    sync.Mutex // guards conns and the requestRead field of each connection
	conns []*conn    // in the order in which they were accepted
}

// New returns a server with at most maxConns open connections. At the limit, a new connection replaces the oldest one without a
// complete request, so that callers that send no request can't lock out others.
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
	s.http.SetKeepAlivesEnabled(false) // one request per connection
	return s
}

// Serve answers requests until the listener is closed, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(&limitedListener{l, s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("admin endpoint: %w", err)
}

// Close closes the listener and waits, for at most shutdownTimeout, until the requests that were read are answered. Otherwise the
// connection of a caller that reads metrics could be reset when the process ends or hands over.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), s.shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
