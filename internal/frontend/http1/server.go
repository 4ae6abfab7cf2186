// Package http1 serves clients over HTTP/1.1.
package http1

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/servingmode"
)

const (
	// bodyShare of the memory is for bodies of requests that are being read or decided on, and busyAfter is
	// when a client for whose body there is no room may come again.
	bodyShare = 1.0 / 16
	busyAfter = time.Second
)

// Config is what a server is given.
type Config struct {
	Validator    *frontend.Validator
	Mode         *servingmode.Mode
	MemoryMB     float64 // of the relay
	MaxConns     int     // connections at most
	MaxIdleConns int     // idle ones at most
	// OnClose, where set, hears why connections are closed. It is called with the server's lock held.
	OnClose func(why string)
}

// Server is the side that clients see: its connections are in conns.go.
type Server struct {
	check   atomic.Pointer[frontend.Validator]
	stance  *servingmode.Mode
	admit   func(*frontend.Submission)
	refused func(class string)
	closed  func(why string)
	memory  budget // for bodies

	mu      sync.Mutex
	left    sync.Cond // a connection has left, or may be made to
	room    int       // connections at most
	keep    int       // idle ones at most
	clients map[*client]bool
	count   [stages]int // of the connections in each stage
	// seeingOff: connections without a request are looked for, since clients are sent away.
	seeingOff bool
	// frozen is closed at the end of a freeze; nil: there is none. listener is the one that is served.
	frozen   chan struct{}
	parked   []DetachedConn
	listener *net.TCPListener
	waiting  bool // what accepts connections waits for the end of the freeze
}

// New makes a server; admit gets each message that passes the check, and refused hears of those for which there is no
// room to read them.
func New(c Config, admit func(*frontend.Submission), refused func(class string)) *Server {
	s := &Server{
		stance: c.Mode, admit: admit, refused: refused, closed: c.OnClose, memory: budget{left: max(frontend.MaxBodySize, int(bodyShare*c.MemoryMB*(1<<20)))},
		room: c.MaxConns, keep: c.MaxIdleConns, clients: map[*client]bool{},
	}
	s.left.L = &s.mu
	s.SetValidator(c.Validator)
	return s
}

// SetValidator has messages that come from now on checked by other settings.
func (s *Server) SetValidator(c *frontend.Validator) { s.check.Store(c) }

// parse checks the head of a request: it gives a message that lacks its body yet, or the answer. What is
// malformed takes nothing on and gets a plain 4xx.
func (s *Server) parse(r *http.Request) (*frontend.Submission, frontend.Response) {
	if status, err := checkFraming(r); err != nil {
		slog.Debug("request rejected", "err", err)
		return nil, frontend.RejectMalformed(status)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/_health" && r.ContentLength == 0 {
		if !s.stance.Healthy() {
			return nil, frontend.Response{Status: http.StatusServiceUnavailable}
		}
		// Answered 200: the relay listens only once its journal is replayed.
		return nil, frontend.Response{Status: http.StatusOK}
	}
	a, status, err := s.check.Load().Parse(r)
	if err != nil {
		slog.Debug("request rejected", "err", err)
		return nil, frontend.RejectMalformed(status)
	}
	return a, frontend.Response{}
}

// checkFraming guards against requests of which it is unclear where they end: net/http drops the length of
// one that has a Transfer-Encoding as well and reads on, so that what is hidden in its body would be passed
// on, and HTTP/1.0 ignores that header. Clients send lengths.
func checkFraming(r *http.Request) (int, error) {
	switch {
	case !r.ProtoAtLeast(1, 1) || r.ProtoMajor > 1:
		return http.StatusBadRequest, fmt.Errorf("protocol %s", r.Proto)
	case len(r.TransferEncoding) > 0:
		return http.StatusBadRequest, fmt.Errorf("transfer encoding %v", r.TransferEncoding)
	case r.Host == "":
		return http.StatusBadRequest, errors.New("no host")
	case r.ContentLength > frontend.MaxBodySize:
		return http.StatusRequestEntityTooLarge, fmt.Errorf("%d bytes", r.ContentLength)
	case r.Method == http.MethodPost && r.Header.Get("Content-Length") == "":
		return http.StatusLengthRequired, errors.New("no length")
	}
	return 0, nil
}
