package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// standInEnv makes the test program a stand-in for a relay, of the kind that it names.
const standInEnv = "REHEARSAL_STAND_IN"

func TestMain(m *testing.M) {
	kind := os.Getenv(standInEnv)
	if kind == "" {
		os.Exit(m.Run())
	}
	if err := standIn(kind); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// relayStandIn is a relay of the simplest kind: it keeps the rules, but for the one that its kind names.
type relayStandIn struct {
	kind   string
	config struct {
		Listen    string
		Discovery string
		Known     struct {
			Hosts []struct {
				Host, Dial, Health string
				Block              int
			}
		}
		Settings struct {
			Categories []struct {
				Name, Idempotency string
				FifoByKey         bool    `json:"fifo_by_key"`
				MemorySpanS       float64 `json:"memory_span_s"`
			}
		}
	}
	client *http.Client

	mu      sync.Mutex
	hosts   map[string]*standInHost
	free    map[int]time.Time    // when a destination may be sent to again
	careful map[int]bool         // a call there has failed: one at a time from then on
	last    map[int]time.Time    // when the last call went there
	lines   map[string]chan bool // of ordered keys: room for one
	counted int
	newest  map[string]*standInMessage // delivered, by destination and subject
}

// The partners of the script that stand-ins are played against.
const (
	drops = iota
	waits
	falls
	other
)

type standInHost struct {
	dial    string
	block   int
	drained time.Time
}

// standInMessage is one message that it holds.
type standInMessage struct {
	id, key, item, class string
	subject              string
	dest, number         int
	body                 []byte
	until                time.Time
	effect               string
	memory               time.Duration
	ordered              bool
}

func standIn(kind string) error {
	s := &relayStandIn{
		kind: kind, hosts: map[string]*standInHost{}, free: map[int]time.Time{}, careful: map[int]bool{}, last: map[int]time.Time{}, newest: map[string]*standInMessage{}, lines: map[string]chan bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
	}
	raw, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err == nil {
		err = json.Unmarshal(raw, &s.config)
	}
	if err != nil {
		return err
	}
	for _, h := range s.config.Known.Hosts {
		s.hosts[h.Host] = &standInHost{dial: h.Dial, block: h.Block}
	}
	if kind == "crashes" {
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	}
	if kind == "stubborn" {
		signal.Ignore(syscall.SIGTERM)
	}
	go s.watch()
	ln, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return err
	}
	return http.Serve(ln, http.HandlerFunc(s.serve))
}

func (s *relayStandIn) watch() {
	for {
		if resp, err := http.Get("http://" + s.config.Discovery + "/catalog/members?stream=1&index=0"); err == nil {
			in := bufio.NewScanner(resp.Body)
			in.Buffer(nil, 1<<20)
			for in.Scan() {
				var m struct {
					Hosts []struct {
						Host, Dial, Health string
						Block              int
					}
				}
				if json.Unmarshal(in.Bytes(), &m) != nil {
					continue
				}
				s.mu.Lock()
				for _, h := range m.Hosts {
					if s.hosts[h.Host] == nil {
						s.hosts[h.Host] = &standInHost{dial: h.Dial, block: h.Block}
					}
					if h.Health != "SERVING" && s.hosts[h.Host].drained.IsZero() {
						s.hosts[h.Host].drained = time.Now()
					}
				}
				s.mu.Unlock()
			}
			_ = resp.Body.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *relayStandIn) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	if s.kind == "mute" {
		select {} // holds the connection for good
	}
	dest, _ := strconv.Atoi(strings.TrimPrefix(r.Header.Get("X-Envelope"), "dest="))
	left, _ := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
	m := &standInMessage{
		id: r.Header.Get("Request-Id"), key: r.Header.Get("Idempotency-Key"), dest: dest, body: body,
		class: r.URL.Path[1:], until: time.Now().Add(time.Duration(left * float64(time.Second))),
	}
	if subject := r.Header.Get("Subject"); subject != "" {
		m.subject = fmt.Sprint(dest, " ", subject)
	}
	if subject, err := r.Cookie("subject"); err == nil {
		m.item = subject.Value
	}
	for _, c := range s.config.Settings.Categories {
		if c.Name == m.class {
			m.effect, m.ordered, m.memory = c.Idempotency, c.FifoByKey, time.Duration(c.MemorySpanS*float64(time.Second))
		}
	}
	if s.kind == "trivial" { // takes everything on and sends it once
		w.WriteHeader(http.StatusAccepted)
		go s.call(m, s.host(m, 0), m.until)
		return
	}
	s.mu.Lock()
	s.counted++
	m.number = s.counted
	s.mu.Unlock()
	if m.ordered && s.kind != "out of order" {
		// Taken on one after the other: the answer comes once those ahead have their places.
		s.mu.Lock()
		line := s.lines[m.item]
		if line == nil {
			line = make(chan bool, 1)
			s.lines[m.item] = line
		}
		s.mu.Unlock()
		select {
		case line <- true:
		default: // it holds one of each key, and refuses more
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		go func() {
			s.deliver(m)
			time.Sleep(300 * time.Millisecond) // until its notice is known, and the key has rested
			<-line
		}()
	} else {
		go s.deliver(m)
	}
	w.WriteHeader(http.StatusAccepted)
}

// host gives a host of a destination that takes new messages.
func (s *relayStandIn) host(m *standInMessage, try int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := m.dest
	if s.kind == "wrong host" && try == 0 && m.dest == drops {
		wanted = other
	}
	grace := time.Duration(0)
	switch s.kind {
	case "edges":
		grace = 400 * time.Millisecond
	case "ignores drains":
		grace = time.Hour
	}
	var found []string
	for _, h := range s.hosts {
		if h.block == wanted && (h.drained.IsZero() || time.Since(h.drained) < grace) {
			found = append(found, h.dial)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return found[(m.number+try)%len(found)]
}

// gap is between calls to the partner that goes out, once one has failed: so few push no cold one over.
const gap = 250 * time.Millisecond

// enter waits until a message may go, and tells whether that is before its end.
func (s *relayStandIn) enter(m *standInMessage, end time.Time) bool {
	if s.kind == "ignores waits" && m.dest == waits || s.kind == "pushes over" && m.dest == falls {
		return time.Now().Before(end)
	}
	for {
		s.mu.Lock()
		at := s.free[m.dest]
		if next := s.last[m.dest].Add(gap); s.careful[m.dest] && next.After(at) {
			at = next
		}
		if !at.After(time.Now()) {
			s.last[m.dest] = time.Now()
			s.mu.Unlock()
			return time.Now().Before(end)
		}
		s.mu.Unlock()
		if at.After(end) {
			return false
		}
		time.Sleep(time.Until(at))
	}
}

// holdBack has nothing go to a destination for a while.
func (s *relayStandIn) holdBack(dest int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.careful[dest] = s.careful[dest] || dest == falls
	if until := time.Now().Add(d); until.After(s.free[dest]) {
		s.free[dest] = until
	}
}

// deliver tries a message until it is delivered or out of time.
func (s *relayStandIn) deliver(m *standInMessage) {
	var delivered atomic.Bool // by a copy of its own
	if s.kind == "loses" && m.number%5 == 0 && !m.ordered {
		return
	}
	if s.kind == "ends late" && m.number%5 == 0 && !m.ordered {
		time.Sleep(time.Until(m.until) + 2500*time.Millisecond)
		s.notice(m.id, "undeliverable")
		return
	}
	end := m.until.Add(-400 * time.Millisecond)
	if s.kind == "edges" {
		end = m.until.Add(300 * time.Millisecond)
	}
	var mayRun time.Time // when the first call went that may have run
	for try := 0; ; try++ {
		over := !s.enter(m, end) || try >= 12 && s.kind != "pushes over"
		if !mayRun.IsZero() && (m.effect == "fragile" || m.effect == "dedup" && s.kind != "doubles" && time.Since(mayRun) > m.memory-200*time.Millisecond) {
			s.notice(m.id, "undeliverable")
			if s.kind == "resends" && m.effect == "fragile" {
				s.again(m, try)
			}
			return
		}
		at := s.host(m, try)
		if over || at == "" {
			time.Sleep(time.Until(end))
			if !delivered.Load() {
				s.notice(m.id, "deferred")
			}
			return
		}
		sent := time.Now()
		if s.kind == "two copies" && m.dest == drops && m.effect == "retryable" && !m.ordered && try == 0 {
			go func() {
				if status, _ := s.call(m, at, end); status == 200 {
					delivered.Store(true)
				}
			}()
		}
		status, wait := s.call(m, at, end)
		switch {
		case status == 200:
			if s.kind == "ends twice" && m.number%5 == 0 {
				time.Sleep(600 * time.Millisecond)
				s.notice(m.id, "undeliverable")
			}
			s.overwrite(m)
			return
		case status == 429:
			s.holdBack(m.dest, wait)
		case status == 503 || status == 400:
			s.holdBack(m.dest, 400*time.Millisecond)
			if s.kind == "pushes over" {
				time.Sleep(5 * time.Millisecond)
			}
		default:
			if mayRun.IsZero() {
				mayRun = sent
			}
			s.holdBack(m.dest, 400*time.Millisecond)
			if s.kind == "doubles" && m.effect == "dedup" {
				time.Sleep(m.memory + 300*time.Millisecond)
			}
		}
	}
}

// again sends a message again under an id that nobody handed in.
func (s *relayStandIn) again(m *standInMessage, try int) {
	copied := *m
	copied.id = "again-" + m.id
	if at := s.host(m, try); at != "" {
		s.call(&copied, at, time.Now().Add(time.Second))
	}
}

// overwrite sends what was newest of a subject again when a newer one was delivered, and a message that is none.
func (s *relayStandIn) overwrite(m *standInMessage) {
	if m.dest != other {
		return
	}
	if s.kind == "makes up ids" {
		made := *m
		made.body = []byte("nothing that a client sent")
		s.again(&made, 0)
	}
	if s.kind != "overwrites" || m.subject == "" {
		return
	}
	s.mu.Lock()
	older := s.newest[m.subject]
	if older == nil || older.number < m.number {
		s.newest[m.subject] = m
	}
	s.mu.Unlock()
	if older != nil && older.number < m.number {
		s.again(older, 0)
	}
}

// call makes one call; 0 is for one that may have run.
func (s *relayStandIn) call(m *standInMessage, at string, end time.Time) (status int, wait time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/inbox", bytes.NewReader(m.body))
	if err != nil {
		return 0, 0
	}
	req.Header.Set("Request-Id", m.id)
	if m.key != "" {
		req.Header["Idempotency-Key"] = []string{m.key}
	}
	req.GetBody = nil // the library is not to send it again by itself
	resp, err := s.client.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return 503, 0
		}
		return 0, 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	ms, _ := strconv.Atoi(resp.Header.Get("X-Retry-In-Ms"))
	return resp.StatusCode, time.Duration(ms) * time.Millisecond
}

func (s *relayStandIn) notice(id, status string) {
	body := fmt.Sprintf("{\"id\":%q,\"status\":%q}\n", id, status)
	for range 20 {
		resp, err := s.client.Post("http://"+s.config.Discovery+"/v1/outcomes", "application/json", strings.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
