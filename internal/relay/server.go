package relay

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mallowlead/internal/journal"
	"mallowlead/internal/settings"
	"mallowlead/internal/undelivered"
	"mallowlead/policy"
)

const (
	// maxBody is the protocol's bound on a body.
	maxBody = 64 << 10
	// maxTimeout bounds what is taken for a time-out: no class keeps a message for a day, and a client that
	// says more does not mean it.
	maxTimeout = 24 * time.Hour
	// maxName bounds an id or a key that a client sends.
	maxName = 256
	// bodyShare of the memory is for bodies of requests that are being read or decided on, and busyAfter is
	// when a client for whose body there is no room may come again.
	bodyShare = 1.0 / 16
	busyAfter = time.Second
)

// envelope finds the destination in the X-Envelope header.
var envelope = regexp.MustCompile(`(?:^|[,;\s])dest=(\d{1,9})(?:$|[,;\s])`)

// verdict is the answer to a message that was handed in.
type verdict struct {
	status int           // 0 where nobody waits for it
	after  time.Duration // when to come again
	close  bool          // the connection takes no further request
}

// malformed is the answer to a request that breaks the protocol. What comes after it on its connection can't
// be told from a part of it, so that it is the last.
func malformed(status int) verdict { return verdict{status: status, close: true} }

// server is the side that clients see: what it takes in is checked here, connections are clients.go's.
type server struct {
	classes map[string]*policy.Class
	tenants map[string]bool
	admit   func(*arrival)
	closing atomic.Bool // answer with Connection: close
	memory  budget      // for bodies
	// subjects say what messages of a class are about, where undelivered ones are kept.
	subjects map[string]*undelivered.Subject

	mu      sync.Mutex
	left    sync.Cond // a connection has left, or may be made to
	room    int       // connections at most
	keep    int       // idle ones at most
	clients map[*client]bool
	count   [stages]int // of the connections in each stage
}

func newServer(c *Config, admit func(*arrival)) *server {
	s := &server{classes: map[string]*policy.Class{}, tenants: map[string]bool{}, admit: admit,
		memory: budget{left: max(maxBody, int(bodyShare*c.Limits.MemoryMB*(1<<20)))},
		room:   c.clientRoom(), keep: c.idleRoom(), clients: map[*client]bool{}, subjects: map[string]*undelivered.Subject{}}
	if c.Own != nil && c.Own.Undelivered != nil {
		for i := range c.Own.Undelivered.Subjects {
			subject := &c.Own.Undelivered.Subjects[i]
			s.subjects[subject.Class] = subject
		}
	}
	s.left.L = &s.mu
	for i := range c.policy.Classes {
		s.classes[c.policy.Classes[i].Name] = &c.policy.Classes[i]
	}
	for _, t := range c.Settings.Tenants {
		s.tenants[t.Name] = true
	}
	return s
}

// parse checks the head of a request: it gives a message that lacks its body yet, or the answer. What is
// malformed takes nothing on and gets a plain 4xx.
func (s *server) parse(r *http.Request) (*arrival, verdict) {
	if status, err := checkFraming(r); err != nil {
		slog.Debug("request rejected", "err", err)
		return nil, malformed(status)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/_health" && r.ContentLength == 0 {
		// Answered 200: the relay listens only once its journal is replayed.
		return nil, verdict{status: http.StatusOK}
	}
	a, status, err := s.message(r)
	if err != nil {
		slog.Debug("request rejected", "err", err)
		return nil, malformed(status)
	}
	return a, verdict{}
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
	case r.ContentLength > maxBody:
		return http.StatusRequestEntityTooLarge, fmt.Errorf("%d bytes", r.ContentLength)
	case r.Method == http.MethodPost && r.Header.Get("Content-Length") == "":
		return http.StatusLengthRequired, errors.New("no length")
	}
	return 0, nil
}

// one gives a header's only value. It has to be printable ASCII, as ids and keys go on unchanged and through
// the journal, whose JSON would change others.
func one(h http.Header, name string) (string, error) {
	values := h[name]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", fmt.Errorf("%s: %d values", name, len(values))
	case len(values[0]) > maxName:
		return "", fmt.Errorf("%s: too long", name)
	}
	for _, c := range []byte(values[0]) {
		if c < ' ' || c > '~' {
			return "", fmt.Errorf("%s: not printable", name)
		}
	}
	return values[0], nil
}

// message checks what a request says of its message.
func (s *server) message(r *http.Request) (*arrival, int, error) {
	now := time.Now()
	if r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s", r.Method)
	}
	name := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")[0]
	class := s.classes[name]
	if class == nil {
		return nil, http.StatusNotFound, fmt.Errorf("unknown class %q", name)
	}
	value := map[string]string{}
	for _, name := range []string{"Tenant", "Request-Id", "Idempotency-Key", "X-Envelope", "Request-Timeout"} {
		v, err := one(r.Header, name)
		if err != nil {
			return nil, http.StatusBadRequest, err
		}
		value[name] = v
	}
	id, key := value["Request-Id"], value["Idempotency-Key"]
	switch {
	case len(s.tenants) > 0 && !s.tenants[value["Tenant"]]:
		return nil, http.StatusBadRequest, fmt.Errorf("unknown tenant %q", value["Tenant"])
	case id == "":
		return nil, http.StatusBadRequest, errors.New("no id")
	case key == "" && class.Effect == policy.Keyed:
		return nil, http.StatusBadRequest, errors.New("no key in a keyed class")
	}
	dest := envelope.FindStringSubmatch(value["X-Envelope"])
	if dest == nil {
		return nil, http.StatusBadRequest, errors.New("no destination")
	}
	no, err := strconv.Atoi(dest[1])
	if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("destination: %w", err)
	}
	left, err := strconv.ParseFloat(value["Request-Timeout"], 64)
	if err != nil || !(left > 0 && left <= maxTimeout.Seconds()) {
		return nil, http.StatusBadRequest, fmt.Errorf("time-out %q", value["Request-Timeout"])
	}
	// The client counts from when it sent; no class gives a message more than its deadline.
	expires := now.Add(settings.Seconds(min(left, class.Deadline.Seconds())))
	return &arrival{verdict: make(chan verdict, 1), entry: &journal.Entry{ID: id, Class: name, Dest: no, Key: key,
		Tenant: value["Tenant"], Taken: now, Expires: expires}}, 0, nil
}

// about reads what a message is about. One of which that can't be told is served as any other; while it may have been
// delivered, no older one of its class and partner is resent.
func (s *server) about(e *journal.Entry, h http.Header) {
	subject := s.subjects[e.Class]
	if subject == nil {
		return
	}
	name, order, err := subject.Read(h, e.Body)
	if err != nil {
		slog.Debug("what a message is about can't be read", "id", e.ID, "err", err)
	}
	e.Subject, e.Order = name, &order
}
