package relay

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"mallowlead/internal/settings"
	"mallowlead/policy"
)

const (
	// maxBody is the protocol's bound on a body.
	maxBody = 64 << 10
	// maxName bounds an id or a key that a client sends.
	maxName = 256
	// maxHead bounds a request's head, and readTime the time to read a request: clients send at once.
	maxHead  = 16 << 10
	readTime = 5 * time.Second
	// idleTime is how long a client may keep a connection without a request.
	idleTime = 2 * time.Minute
	// clientShare of the descriptors is for clients' connections; hosts' get hostShare.
	clientShare, hostShare = 0.5, 0.25
)

// envelope finds the destination in the X-Envelope header.
var envelope = regexp.MustCompile(`(?:^|[,;\s])dest=(\d{1,9})(?:$|[,;\s])`)

// verdict is the answer to a message that was handed in.
type verdict struct {
	status int
	after  time.Duration // when to come again
}

// server is the side that clients see.
type server struct {
	classes map[string]*policy.Class
	tenants map[string]bool
	admit   func(*arrival)
	gone    func(id string)
	closing atomic.Bool // answer with Connection: close
	http    *http.Server
}

func newServer(c *Config, admit func(*arrival), gone func(string)) *server {
	s := &server{classes: map[string]*policy.Class{}, tenants: map[string]bool{}, admit: admit, gone: gone}
	for i := range c.policy.Classes {
		s.classes[c.policy.Classes[i].Name] = &c.policy.Classes[i]
	}
	for _, t := range c.Settings.Tenants {
		s.tenants[t.Name] = true
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadTimeout: readTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHead,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return s
}

// listen opens the address that clients connect to, for a bounded number of connections.
func (s *server) listen(c *Config) (net.Listener, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	return netutil.LimitListener(l, max(1, int(clientShare*float64(c.Limits.Sockets)))), nil
}

// serve parts messages from health checks. Those are answered 200: the relay listens only once its journal
// is replayed.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/_health" && r.Method == http.MethodGet:
		s.finish(w, verdict{status: http.StatusOK})
	case r.Method != http.MethodPost:
		s.finish(w, verdict{status: http.StatusMethodNotAllowed})
	default:
		s.post(w, r)
	}
}

// finish writes an answer without a body.
func (s *server) finish(w http.ResponseWriter, v verdict) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if v.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(v.after.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(v.status)
}

// post takes a message in, has it decided on, and answers.
func (s *server) post(w http.ResponseWriter, r *http.Request) {
	a, status, err := s.parse(w, r)
	if err != nil {
		slog.Debug("request rejected", "err", err)
		s.finish(w, verdict{status: status})
		return
	}
	s.admit(a)
	select {
	case v := <-a.verdict:
		s.finish(w, v)
	case <-r.Context().Done():
		// The client left before an answer: it may hand the message in again, and this copy counts for nothing.
		s.gone(a.entry.ID)
	}
}

// parse checks a request; what is malformed takes nothing on and gets a plain 4xx.
func (s *server) parse(w http.ResponseWriter, r *http.Request) (*arrival, int, error) {
	now := time.Now()
	name := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")[0]
	class := s.classes[name]
	if class == nil {
		return nil, http.StatusNotFound, fmt.Errorf("unknown class %q", name)
	}
	if t := r.Header.Get("Tenant"); len(s.tenants) > 0 && !s.tenants[t] {
		return nil, http.StatusBadRequest, fmt.Errorf("unknown tenant %q", t)
	}
	id, key := r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key")
	if id == "" || len(id) > maxName || len(key) > maxName {
		return nil, http.StatusBadRequest, errors.New("no id, or an id or key too long")
	}
	if key == "" && class.Effect == policy.Keyed {
		return nil, http.StatusBadRequest, errors.New("no key in a keyed class")
	}
	dest := envelope.FindStringSubmatch(r.Header.Get("X-Envelope"))
	if dest == nil {
		return nil, http.StatusBadRequest, errors.New("no destination")
	}
	no, err := strconv.Atoi(dest[1])
	if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("destination: %w", err)
	}
	left, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
	if err != nil || !(left > 0) || math.IsInf(left, 0) {
		return nil, http.StatusBadRequest, fmt.Errorf("time-out %q", r.Header.Get("Request-Timeout"))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			return nil, http.StatusRequestEntityTooLarge, err
		}
		return nil, http.StatusBadRequest, err
	}
	// The client counts from when it sent; no class gives a message more than its deadline.
	expires := now.Add(settings.Seconds(min(left, class.Deadline.Seconds())))
	return &arrival{verdict: make(chan verdict, 1), entry: &Entry{ID: id, Class: name, Dest: no, Key: key,
		Expires: expires, Body: body}}, 0, nil
}
