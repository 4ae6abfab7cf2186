package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

const (
	// watchKeepAlive is between the empty lines of a watch on which nothing changes.
	watchKeepAlive = 2 * time.Second
	// oldAddressGrace is how long a register that has moved leaves its open connections.
	oldAddressGrace = 1500 * time.Millisecond
)

// endpointJSON is one entry of the list, in the protocol's form.
type endpointJSON struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// serveEndpointList is the list, or a change of it, in the protocol's form.
type endpointList struct {
	Seq   int            `json:"seq"`
	Whole bool           `json:"whole"`
	Hosts []endpointJSON `json:"hosts"`
}

// listEntry is a host as the register shows it.
type listEntry struct {
	host  *endpointServer
	state string
	born  int64 // Unix time in milliseconds
}

// discoveryServer is the register of endpoints and the platform's ear for notices. Each relay has an address of its own,
// so that it is known who asks.
type discoveryServer struct {
	h *harness

	mu          sync.Mutex
	entries     []listEntry // in the order of their first showing; deleted ones stay, as such
	changes     []int       // version n changed entries[changes[n-1]]
	changed     chan struct{}
	failureMode string // how the register fails; empty: it is up
	closing     chan struct{}
	servers     map[int]*http.Server // by relay, the present one
	allServers  []*http.Server
}

func newDiscoveryServer(r *harness) (*discoveryServer, error) {
	g := &discoveryServer{h: r, changed: make(chan struct{}), closing: make(chan struct{}), servers: map[int]*http.Server{}}
	for _, l := range r.destinations {
		for _, h := range l.endpoints {
			g.entries = append(g.entries, listEntry{host: h, state: checker.Serving})
			g.changes = append(g.changes, len(g.entries)-1)
		}
	}
	for relay := range r.relays {
		if err := g.open(relay); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// open gives a relay a register at a new address.
func (g *discoveryServer) open(relay int) error {
	ln, err := g.h.loopback.Listen()
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { g.serve(relay, w, q) })}
	g.mu.Lock()
	g.servers[relay] = srv
	g.allServers = append(g.allServers, srv)
	g.mu.Unlock()
	g.h.relays[relay].setDiscovery(ln.Addr().String())
	g.h.background.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			g.h.recordFailure("register of relay %d: %v", relay+1, err)
		}
	})
	return nil
}

// move gives a relay's register another address. The old one takes no new connection, and closes the open ones
// after a while.
func (g *discoveryServer) move(relay int) error {
	g.mu.Lock()
	old := g.servers[relay]
	g.mu.Unlock()
	if err := g.open(relay); err != nil {
		return err
	}
	g.h.background.Go(func() {
		// Shutdown closes the listener at once and idle connections too; a watch that is open stays until Close.
		go func() { _ = old.Shutdown(g.h.ctx) }()
		wait.For(g.h.ctx, oldAddressGrace)
		_ = old.Close()
	})
	return nil
}

// publish has the register show a host in a state from now on.
func (g *discoveryServer) publish(h *endpointServer, state string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := -1
	for i := range g.entries {
		if g.entries[i].host == h {
			at = i
		}
	}
	if at < 0 {
		at = len(g.entries)
		g.entries = append(g.entries, listEntry{host: h, born: time.Now().UnixMilli()})
	}
	if g.entries[at].state == checker.Deleted {
		return
	}
	g.entries[at].state = state
	g.changes = append(g.changes, at)
	g.h.record(checker.Event{Kind: checker.EndpointShown, Endpoint: h.id, Destination: h.number, State: state})
	close(g.changed)
	g.changed = make(chan struct{})
}

// fail takes the register away, or (empty) brings it back.
func (g *discoveryServer) fail(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if how == "" {
		g.h.record(checker.Event{Kind: checker.DiscoveryUp})
	} else {
		g.h.record(checker.Event{Kind: checker.DiscoveryDown})
	}
	g.failureMode = how
	close(g.changed)
	g.changed = make(chan struct{})
}

// list gives what changed after a version, or the whole list; the lock is held.
func (g *discoveryServer) list(relay, after int) (endpointList, []listEntry) {
	out := endpointList{Seq: len(g.changes), Whole: after <= 0 || after > len(g.changes), Hosts: []endpointJSON{}}
	var told []listEntry
	add := func(e listEntry) {
		told = append(told, e)
		p := &g.h.scenario.Destinations[e.host.number]
		if out.Whole && e.state == checker.Deleted {
			return // told by not being there
		}
		out.Hosts = append(out.Hosts, endpointJSON{
			Host: e.host.id, Dial: e.host.addrs[relay], Site: p.Zone, Class: p.Kind,
			Block: e.host.number, Health: e.state, Share: g.h.scenario.AdmittedRate(p), BornMS: e.born,
		})
	}
	if out.Whole {
		for _, e := range g.entries {
			add(e)
		}
		return out, told
	}
	seen := map[int]bool{}
	for _, at := range g.changes[after:] {
		if !seen[at] {
			seen[at] = true
			add(g.entries[at])
		}
	}
	return out, told
}

// initialList is the whole list as a relay's configuration has it.
func (g *discoveryServer) initialList(relay int) endpointList {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, _ := g.list(relay, 0)
	return m
}

// recordNotified notes what has been written to a relay.
func (g *discoveryServer) recordNotified(relay int, told []listEntry) {
	for _, e := range told {
		g.h.record(checker.Event{Kind: checker.EndpointNotified, Relay: relay, Endpoint: e.host.id, Destination: e.host.number, State: e.state})
	}
}

func (g *discoveryServer) serve(relay int, w http.ResponseWriter, q *http.Request) {
	switch {
	case q.Method == http.MethodPost && q.URL.Path == "/v1/outcomes":
		g.serveNotifications(relay, w, q)
	case q.Method == http.MethodGet && q.URL.Path == "/catalog/members":
		g.serveEndpointList(relay, w, q)
	default:
		g.h.recordFailure("relay %d asked the register for %s %s", relay+1, q.Method, q.URL.Path)
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveEndpointList answers with the list, once or as a watch.
func (g *discoveryServer) serveEndpointList(relay int, w http.ResponseWriter, q *http.Request) {
	g.mu.Lock()
	down := g.failureMode
	g.mu.Unlock()
	if down != "" {
		g.h.record(checker.Event{Kind: checker.WatchRequested, Relay: relay})
		g.respondFailed(down, w, q)
		return
	}
	if q.URL.Query().Get("stream") != "1" {
		g.mu.Lock()
		m, told := g.list(relay, 0)
		g.mu.Unlock()
		if json.NewEncoder(w).Encode(m) == nil {
			g.recordNotified(relay, told)
			g.h.record(checker.Event{Kind: checker.WatchRequested, Relay: relay, OK: true})
			g.h.record(checker.Event{Kind: checker.WatchEnded, Relay: relay})
		}
		return
	}
	after, _ := strconv.Atoi(q.URL.Query().Get("index"))
	g.h.record(checker.Event{Kind: checker.WatchRequested, Relay: relay, OK: true})
	defer g.h.record(checker.Event{Kind: checker.WatchEnded, Relay: relay})
	g.watch(relay, after, w, q)
}

func (g *discoveryServer) watch(relay, after int, w http.ResponseWriter, q *http.Request) {
	lines, out := json.NewEncoder(w), http.NewResponseController(w)
	tick := time.NewTicker(watchKeepAlive)
	defer tick.Stop()
	for first := true; ; first = false {
		g.mu.Lock()
		down, changed := g.failureMode, g.changed
		var m endpointList
		var told []listEntry
		if first || after < len(g.changes) {
			m, told = g.list(relay, after)
			after = len(g.changes)
		}
		g.mu.Unlock()
		if down != "" {
			panic(http.ErrAbortHandler) // the watch ends with its connection
		}
		if m.Seq > 0 {
			if lines.Encode(m) != nil || out.Flush() != nil {
				return
			}
			g.recordNotified(relay, told)
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-g.closing:
			return
		case <-tick.C:
			if _, err := w.Write([]byte("\n")); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

// respondFailed answers a call while the register is away.
func (g *discoveryServer) respondFailed(how string, w http.ResponseWriter, q *http.Request) {
	switch how {
	case "503":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		for {
			g.mu.Lock()
			down, changed := g.failureMode, g.changed
			g.mu.Unlock()
			if down == "" {
				panic(http.ErrAbortHandler)
			}
			select {
			case <-changed:
			case <-q.Context().Done():
				return
			case <-g.closing:
				return
			}
		}
	}
}

// serveNotifications takes the ends of messages, also while the register is away.
func (g *discoveryServer) serveNotifications(relay int, w http.ResponseWriter, q *http.Request) {
	type notice struct {
		ID      string `json:"id"`
		Status  string `json:"status"`
		AgainMS int64  `json:"again_ms"`
	}
	var all []notice
	for lines := bufio.NewScanner(q.Body); lines.Scan(); {
		var n notice
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" || n.Status != checker.Undeliverable && n.Status != checker.Deferred {
			g.h.recordFailure("relay %d posted a notice that can't be read: %.100q", relay+1, lines.Text())
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	for _, n := range all {
		g.h.record(checker.Event{
			Kind: checker.Notified, ID: n.ID, Relay: relay, State: n.Status,
			Duration: time.Duration(n.AgainMS) * time.Millisecond,
		})
		if c := g.h.ledger.completed(n.ID); c != nil && n.Status == checker.Deferred {
			g.h.clients.retryRejected(c, time.Duration(n.AgainMS)*time.Millisecond)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *discoveryServer) close() {
	close(g.closing)
	g.mu.Lock()
	all := g.allServers
	g.mu.Unlock()
	for _, s := range all {
		_ = s.Close()
	}
}

// publishDelay draws how long the register takes to show a change.
func (g *discoveryServer) publishDelay(what string, n ...int) time.Duration {
	return scenario.Seconds(g.h.scenario.Discovery.PublishDelay.Draw(g.h.random.Stream("lag-"+what, n...)))
}
