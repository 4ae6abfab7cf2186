package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// keepAlive is the interval of the empty lines of a watch in which nothing changes.
	keepAlive = 2 * time.Second
	// closesAfter is how long an address that the platform has left keeps its open connections.
	closesAfter = 1500 * time.Millisecond
)

// Entry is an entry of the endpoint list.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// List is the endpoint list, or a change of it.
type List struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Notice is a notice of a relay.
type Notice struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	AgainMS int    `json:"again_ms"`
}

// Platform is a stand-in for discovery and the receiver of notices.
type Platform struct {
	Address string
	c       *Case
	handler http.Handler

	mu       sync.Mutex // guards the fields below
	server   *http.Server
	listener net.Listener
	list     List
	changed  chan struct{} // closed at the next change of the list
	notices  []Notice
}

// NewPlatform starts a platform.
func NewPlatform(c *Case) *Platform {
	p := &Platform{c: c, list: List{Seq: 1, Whole: true}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", p.serveList)
	mux.HandleFunc("POST /v1/outcomes", p.serveOutcomes)
	p.handler = mux
	p.listen()
	c.atEnd(func() { _ = p.server.Close() })
	return p
}

// listen serves at a new address.
func (p *Platform) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.c.check(err)
	server := &http.Server{Handler: p.handler, ReadHeaderTimeout: time.Second}
	p.mu.Lock()
	p.server, p.listener, p.Address = server, l, l.Addr().String()
	p.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// Move moves the platform to another address. The old one takes no new connection, and closes the open ones after closesAfter.
func (p *Platform) Move() {
	old, listener := p.server, p.listener
	p.c.check(listener.Close())
	p.listen()
	time.AfterFunc(closesAfter, func() { _ = old.Close() })
}

// SetHealth changes the health of an endpoint in the list.
func (p *Platform) SetHealth(host, health string) {
	p.c.Logf("discovery: %s is %s", host, health)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Seq++
	for i := range p.list.Hosts {
		if p.list.Hosts[i].Host == host {
			p.list.Hosts[i].Health = health
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Add adds an entry to the list.
func (p *Platform) Add(e Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Seq++
	p.list.Hosts = append(p.list.Hosts, e)
	close(p.changed)
	p.changed = make(chan struct{})
}

// List returns the list.
func (p *Platform) List() List {
	list, _ := p.current()
	return list
}

// Notices returns the notices for a message.
func (p *Platform) Notices(id string) (of []Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices {
		if n.ID == id {
			of = append(of, n)
		}
	}
	return of
}

func (p *Platform) current() (list List, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list = p.list
	list.Hosts = append([]Entry{}, p.list.Hosts...)
	return list, p.changed
}

// serveList answers a request for the list, or a watch of it.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	known := int64(-1)
	if r.URL.Query().Get("stream") != "" {
		known, _ = strconv.ParseInt(r.URL.Query().Get("index"), 10, 64) // 0 if it cannot be read: the whole list is sent
	}
	out := json.NewEncoder(w)
	for {
		list, changed := p.current()
		if list.Seq != known {
			if out.Encode(list) != nil {
				return
			}
		}
		if known < 0 {
			return
		}
		known = list.Seq
		_ = http.NewResponseController(w).Flush() // fails if the relay is gone, which the context tells
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(keepAlive):
			_, _ = w.Write([]byte("\n"))
		}
	}
}

// serveOutcomes takes notices.
func (p *Platform) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	in := json.NewDecoder(r.Body)
	for in.More() {
		var n Notice
		if in.Decode(&n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.c.Logf("platform: notice for %s: %s", n.ID, n.Status)
		p.mu.Lock()
		p.notices = append(p.notices, n)
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}
