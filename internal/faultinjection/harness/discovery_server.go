package harness

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

// oldAddressGrace is how long a discovery server that has moved keeps the connections that are open at its old address.
const oldAddressGrace = 1500 * time.Millisecond

// discoveryFailure is the way in which discovery fails, by its name in scenario files.
type discoveryFailure string

const (
	discoveryWorks        discoveryFailure = ""
	discoveryUnavailable  discoveryFailure = scenario.DiscoveryUnavailable
	discoveryResets       discoveryFailure = scenario.DiscoveryResets
	discoveryUnresponsive discoveryFailure = scenario.DiscoveryUnresponsive
)

// discoveryServer stands in for the platform's discovery service and for the platform's receiver of notifications. It has a
// separate address for each relay, which identifies the relay that makes a request.
type discoveryServer struct {
	harness *harness
	closing chan struct{}

	mu         sync.Mutex       // guards everything below
	entries    []endpointEntry  // in the order of their first publication; deleted ones stay
	changes    []int            // version n changed entries[changes[n-1]]
	changed    chan struct{}    // closed and replaced at each update of the fields changes and failure
	failure    discoveryFailure // of the endpoint list; notifications are received even during a failure
	servers    map[int]*http.Server
	allServers []*http.Server // including those at addresses from before a move
}

func newDiscoveryServer(h *harness) (*discoveryServer, error) {
	d := &discoveryServer{harness: h, changed: make(chan struct{}), closing: make(chan struct{}), servers: map[int]*http.Server{}}
	for _, dest := range h.destinations {
		for _, e := range dest.endpoints {
			d.entries = append(d.entries, endpointEntry{endpoint: e, state: checker.Serving})
			d.changes = append(d.changes, len(d.entries)-1)
		}
	}
	for relay := range h.relays {
		if err := d.open(relay); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// open serves a relay at a new address.
func (d *discoveryServer) open(relay int) error {
	ln, err := d.harness.loopback.Listen()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { d.serve(relay, w, req) })}
	d.mu.Lock()
	d.servers[relay] = server
	d.allServers = append(d.allServers, server)
	d.mu.Unlock()
	d.harness.relays[relay].setDiscovery(ln.Addr().String())
	d.harness.background.Go(func() {
		if err := server.Serve(copyingListener{ln, d.harness.extra}); !errors.Is(err, http.ErrServerClosed) {
			d.harness.recordFailure("register of relay %d: %v", relay+1, err)
		}
	})
	return nil
}

// move serves a relay at another address. The old address accepts no new connections, and its open connections are closed
// after oldAddressGrace.
func (d *discoveryServer) move(relay int) error {
	d.mu.Lock()
	old := d.servers[relay]
	d.mu.Unlock()
	if err := d.open(relay); err != nil {
		return err
	}
	h := d.harness
	// Shutdown closes the listener and idle connections at once, and then waits for open watches, which Close ends.
	h.background.Go(func() { _ = old.Shutdown(h.ctx) })
	h.background.Go(func() {
		wait.For(h.ctx, oldAddressGrace)
		_ = old.Close()
	})
	return nil
}

// publish publishes a new state of an endpoint. A deleted endpoint stays deleted.
func (d *discoveryServer) publish(e *endpointServer, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := d.entryOf(e)
	if d.entries[index].state == checker.Deleted {
		return
	}
	d.entries[index].state = state
	d.changes = append(d.changes, index)
	d.harness.record(checker.Event{Kind: checker.EndpointShown, Endpoint: e.id, Destination: e.destination.number, State: state})
	d.broadcast()
}

// entryOf returns the index of an endpoint's entry, which it adds for a new endpoint; the lock is held.
func (d *discoveryServer) entryOf(e *endpointServer) int {
	for i := range d.entries {
		if d.entries[i].endpoint == e {
			return i
		}
	}
	d.entries = append(d.entries, endpointEntry{endpoint: e, bornMS: time.Now().UnixMilli()})
	return len(d.entries) - 1
}

// broadcast wakes all goroutines that wait for a change; the lock is held.
func (d *discoveryServer) broadcast() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setFailure begins a failure of discovery, or ends the current one if failure is discoveryWorks.
func (d *discoveryServer) setFailure(failure discoveryFailure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kind := checker.DiscoveryDown
	if failure == discoveryWorks {
		kind = checker.DiscoveryUp
	}
	d.harness.record(checker.Event{Kind: kind})
	d.failure = failure
	d.broadcast()
}

// currentFailure returns how discovery fails, and a channel that is closed at the next change.
func (d *discoveryServer) currentFailure() (failure discoveryFailure, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failure, d.changed
}

// publishDelay draws the time from a change to its publication.
func (d *discoveryServer) publishDelay(change string, number int) time.Duration {
	return scenario.Seconds(d.harness.scenario.Discovery.PublishDelay.Draw(d.harness.random.Stream("lag-"+change, number)))
}

// serve routes a relay's request.
func (d *discoveryServer) serve(relay int, w http.ResponseWriter, req *http.Request) {
	switch {
	case req.Method == http.MethodPost && req.URL.Path == "/v1/outcomes":
		d.serveNotifications(relay, w, req)
	case req.Method == http.MethodGet && req.URL.Path == "/catalog/members":
		d.serveEndpointList(relay, w, req)
	default:
		d.harness.recordFailure("relay %d asked the register for %s %s", relay+1, req.Method, req.URL.Path)
		w.WriteHeader(http.StatusNotFound)
	}
}

// respondFailed handles a request for the endpoint list while discovery fails, as the kind of failure requires.
func (d *discoveryServer) respondFailed(failure discoveryFailure, w http.ResponseWriter, req *http.Request) {
	switch failure {
	case discoveryUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case discoveryResets:
		panic(http.ErrAbortHandler) // net/http closes the connection
	case discoveryUnresponsive:
		d.awaitRecovery(req)
	case discoveryWorks: // respondFailed is not called then
	}
}

// awaitRecovery holds a request without a response until discovery works again, and then closes its connection.
func (d *discoveryServer) awaitRecovery(req *http.Request) {
	for {
		failure, changed := d.currentFailure()
		if failure == discoveryWorks {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		case <-d.closing:
			return
		}
	}
}

// close ends all servers and their connections.
func (d *discoveryServer) close() {
	close(d.closing)
	d.mu.Lock()
	servers := d.allServers
	d.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}
