package stage

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Entry is an entry of discovery's list.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// list is a line of a watch, or the whole list.
type list struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Notice is a notice that a relay has posted.
type Notice struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	at     time.Duration
}

// Platform is the stand-in for discovery and for the receiver of notices.
type Platform struct {
	Addr  string
	stage *Stage

	mu      sync.Mutex // guards the fields below
	seq     int64
	hosts   []Entry
	watches map[chan list]bool
	notices map[string]Notice // the first of each message
}

// StartPlatform starts a platform with no hosts.
func (s *Stage) StartPlatform() *Platform {
	l := s.Listen()
	p := &Platform{Addr: l.Addr().String(), stage: s, seq: 41, watches: map[chan list]bool{}, notices: map[string]Notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", p.serveMembers)
	mux.HandleFunc("POST /v1/outcomes", p.serveOutcomes)
	server := &http.Server{Handler: mux}
	s.AtEnd(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return p
}

// Add adds a host to the list.
func (p *Platform) Add(e Entry) {
	e.Class, e.Health, e.Share = "bank-systems", "SERVING", 50
	p.change(e)
}

// Remove says that a host is gone.
func (p *Platform) Remove(host string) { p.change(Entry{Host: host, Health: "DELETED"}) }

// change changes the list, and tells the watches.
func (p *Platform) change(e Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	var hosts []Entry
	for _, old := range p.hosts {
		if old.Host != e.Host {
			hosts = append(hosts, old)
		} else if e.Health == "DELETED" {
			old.Health = e.Health
			e = old
		}
	}
	if e.Health != "DELETED" {
		hosts = append(hosts, e)
	}
	p.hosts = hosts
	for watch := range p.watches {
		watch <- list{Seq: p.seq, Hosts: []Entry{e}}
	}
	p.stage.Record("register: host %s of destination %d at %s is %s", e.Host, e.Block, e.Site, e.Health)
}

// whole returns the whole list.
func (p *Platform) whole() list {
	p.mu.Lock()
	defer p.mu.Unlock()
	return list{Seq: p.seq, Whole: true, Hosts: p.hosts}
}

func (p *Platform) serveMembers(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		_ = json.NewEncoder(w).Encode(p.whole()) // fails if the relay has left
		return
	}
	changes := make(chan list, 1000)
	p.mu.Lock()
	p.watches[changes] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watches, changes)
	}()
	next, empty := p.whole(), time.NewTicker(2*time.Second)
	defer empty.Stop()
	for {
		if json.NewEncoder(w).Encode(next) != nil {
			return
		}
		for more := true; more; {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case next = <-changes:
				more = false
			case <-empty.C:
				_, _ = w.Write([]byte("\n")) // fails if the relay has left
			}
		}
	}
}

func (p *Platform) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var n Notice
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" {
			http.Error(w, "not a notice", http.StatusBadRequest)
			return
		}
		n.at = p.stage.Now()
		p.stage.Record("notice: %s %s", n.ID, n.Status)
		p.mu.Lock()
		if _, known := p.notices[n.ID]; !known {
			p.notices[n.ID] = n
		}
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Notice returns the first notice of a message, and when it came.
func (p *Platform) Notice(id string) (n Notice, at time.Duration, come bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, come = p.notices[id]
	return n, n.at, come
}

// String describes a notice.
func (n Notice) String() string { return fmt.Sprintf("%s %s", n.ID, n.Status) }
