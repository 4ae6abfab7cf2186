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
	// beat is between the empty lines of a watch on which nothing changes.
	beat = 2 * time.Second
	// oldFor is how long a register that has moved leaves its open connections.
	oldFor = 1500 * time.Millisecond
)

// member is one entry of the list, in the protocol's form.
type member struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// members is the list, or a change of it, in the protocol's form.
type members struct {
	Seq   int      `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []member `json:"hosts"`
}

// entry is a host as the register shows it.
type entry struct {
	host  *host
	state string
	born  int64 // Unix time in milliseconds
}

// register is the register of endpoints and the platform's ear for notices. Each relay has an address of its own,
// so that it is known who asks.
type register struct {
	r *rig

	mu      sync.Mutex
	entries []entry // in the order of their first showing; deleted ones stay, as such
	changes []int   // version n changed entries[changes[n-1]]
	changed chan struct{}
	down    string // how the register fails; empty: it is up
	ending  chan struct{}
	servers map[int]*http.Server // by relay, the present one
	all     []*http.Server
}

func newRegister(r *rig) (*register, error) {
	g := &register{r: r, changed: make(chan struct{}), ending: make(chan struct{}), servers: map[int]*http.Server{}}
	for _, l := range r.partners {
		for _, h := range l.hosts {
			g.entries = append(g.entries, entry{host: h, state: checker.Serving})
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
func (g *register) open(relay int) error {
	ln, err := g.r.loopback.Listen()
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { g.serve(relay, w, q) })}
	g.mu.Lock()
	g.servers[relay] = srv
	g.all = append(g.all, srv)
	g.mu.Unlock()
	g.r.relays[relay].setDiscovery(ln.Addr().String())
	g.r.work.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			g.r.fault("register of relay %d: %v", relay+1, err)
		}
	})
	return nil
}

// move gives a relay's register another address. The old one takes no new connection, and closes the open ones
// after a while.
func (g *register) move(relay int) error {
	g.mu.Lock()
	old := g.servers[relay]
	g.mu.Unlock()
	if err := g.open(relay); err != nil {
		return err
	}
	g.r.work.Go(func() {
		// Shutdown closes the listener at once and idle connections too; a watch that is open stays until Close.
		go func() { _ = old.Shutdown(g.r.ctx) }()
		wait.For(g.r.ctx, oldFor)
		_ = old.Close()
	})
	return nil
}

// show has the register show a host in a state from now on.
func (g *register) show(h *host, state string) {
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
		g.entries = append(g.entries, entry{host: h, born: time.Now().UnixMilli()})
	}
	if g.entries[at].state == checker.Deleted {
		return
	}
	g.entries[at].state = state
	g.changes = append(g.changes, at)
	g.r.note(checker.Event{Kind: checker.EndpointShown, Endpoint: h.id, Destination: h.number, State: state})
	close(g.changed)
	g.changed = make(chan struct{})
}

// fail takes the register away, or (empty) brings it back.
func (g *register) fail(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if how == "" {
		g.r.note(checker.Event{Kind: checker.DiscoveryUp})
	} else {
		g.r.note(checker.Event{Kind: checker.DiscoveryDown})
	}
	g.down = how
	close(g.changed)
	g.changed = make(chan struct{})
}

// list gives what changed after a version, or the whole list; the lock is held.
func (g *register) list(relay, after int) (members, []entry) {
	out := members{Seq: len(g.changes), Whole: after <= 0 || after > len(g.changes), Hosts: []member{}}
	var told []entry
	add := func(e entry) {
		told = append(told, e)
		p := &g.r.s.Partners[e.host.number]
		if out.Whole && e.state == checker.Deleted {
			return // told by not being there
		}
		out.Hosts = append(out.Hosts, member{
			Host: e.host.id, Dial: e.host.addrs[relay], Site: p.Site, Class: p.Kind,
			Block: e.host.number, Health: e.state, Share: g.r.s.Rate(p), BornMS: e.born,
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

// known is the whole list as a relay's configuration has it.
func (g *register) known(relay int) members {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, _ := g.list(relay, 0)
	return m
}

// tell notes what has been written to a relay.
func (g *register) tell(relay int, told []entry) {
	for _, e := range told {
		g.r.note(checker.Event{Kind: checker.EndpointNotified, Relay: relay, Endpoint: e.host.id, Destination: e.host.number, State: e.state})
	}
}

func (g *register) serve(relay int, w http.ResponseWriter, q *http.Request) {
	switch {
	case q.Method == http.MethodPost && q.URL.Path == "/v1/outcomes":
		g.notices(relay, w, q)
	case q.Method == http.MethodGet && q.URL.Path == "/catalog/members":
		g.members(relay, w, q)
	default:
		g.r.fault("relay %d asked the register for %s %s", relay+1, q.Method, q.URL.Path)
		w.WriteHeader(http.StatusNotFound)
	}
}

// members answers with the list, once or as a watch.
func (g *register) members(relay int, w http.ResponseWriter, q *http.Request) {
	g.mu.Lock()
	down := g.down
	g.mu.Unlock()
	if down != "" {
		g.r.note(checker.Event{Kind: checker.WatchRequested, Relay: relay})
		g.refuse(down, w, q)
		return
	}
	if q.URL.Query().Get("stream") != "1" {
		g.mu.Lock()
		m, told := g.list(relay, 0)
		g.mu.Unlock()
		if json.NewEncoder(w).Encode(m) == nil {
			g.tell(relay, told)
			g.r.note(checker.Event{Kind: checker.WatchRequested, Relay: relay, OK: true})
			g.r.note(checker.Event{Kind: checker.WatchEnded, Relay: relay})
		}
		return
	}
	after, _ := strconv.Atoi(q.URL.Query().Get("index"))
	g.r.note(checker.Event{Kind: checker.WatchRequested, Relay: relay, OK: true})
	defer g.r.note(checker.Event{Kind: checker.WatchEnded, Relay: relay})
	g.watch(relay, after, w, q)
}

func (g *register) watch(relay, after int, w http.ResponseWriter, q *http.Request) {
	lines, out := json.NewEncoder(w), http.NewResponseController(w)
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for first := true; ; first = false {
		g.mu.Lock()
		down, changed := g.down, g.changed
		var m members
		var told []entry
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
			g.tell(relay, told)
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-g.ending:
			return
		case <-tick.C:
			if _, err := w.Write([]byte("\n")); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

// refuse answers a call while the register is away.
func (g *register) refuse(how string, w http.ResponseWriter, q *http.Request) {
	switch how {
	case "503":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		for {
			g.mu.Lock()
			down, changed := g.down, g.changed
			g.mu.Unlock()
			if down == "" {
				panic(http.ErrAbortHandler)
			}
			select {
			case <-changed:
			case <-q.Context().Done():
				return
			case <-g.ending:
				return
			}
		}
	}
}

// notices takes the ends of messages, also while the register is away.
func (g *register) notices(relay int, w http.ResponseWriter, q *http.Request) {
	type notice struct {
		ID      string `json:"id"`
		Status  string `json:"status"`
		AgainMS int64  `json:"again_ms"`
	}
	var all []notice
	for lines := bufio.NewScanner(q.Body); lines.Scan(); {
		var n notice
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" || n.Status != checker.Undeliverable && n.Status != checker.Deferred {
			g.r.fault("relay %d posted a notice that can't be read: %.100q", relay+1, lines.Text())
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	for _, n := range all {
		g.r.note(checker.Event{
			Kind: checker.Notified, ID: n.ID, Relay: relay, State: n.Status,
			Duration: time.Duration(n.AgainMS) * time.Millisecond,
		})
		if c := g.r.book.noticed(n.ID); c != nil && n.Status == checker.Deferred {
			g.r.clients.comeAgain(c, time.Duration(n.AgainMS)*time.Millisecond)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *register) close() {
	close(g.ending)
	g.mu.Lock()
	all := g.all
	g.mu.Unlock()
	for _, s := range all {
		_ = s.Close()
	}
}

// lag draws how long the register takes to show a change.
func (g *register) lag(what string, n ...int) time.Duration {
	return scenario.Seconds(g.r.s.Register.Lag.In(g.r.d.For("lag-"+what, n...)))
}
