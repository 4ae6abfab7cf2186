package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// watchKeepAlive is the time between the empty lines that keep a watch alive while nothing changes.
const watchKeepAlive = 2 * time.Second

// maxPendingCopies bounds the copies of events that wait to be written on a watch.
const maxPendingCopies = 16

// endpointJSON is one entry of the endpoint list, in the protocol's form.
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

// endpointList is the endpoint list, or a watch event with its changes, in the protocol's form.
type endpointList struct {
	Seq   int            `json:"seq"`
	Whole bool           `json:"whole"`
	Hosts []endpointJSON `json:"hosts"`
}

// endpointEntry is an endpoint as it was last published.
type endpointEntry struct {
	endpoint *endpointServer
	state    string
	bornMS   int64 // Unix time in milliseconds; 0: it existed at the start of the run
}

// list returns the changes after a version, or the complete list if the version does not exist. It also returns the entries that
// the relay is notified of by this list. The lock is held.
func (d *discoveryServer) list(relay, after int) (list endpointList, notified []endpointEntry) {
	list = endpointList{Seq: len(d.changes), Whole: after <= 0 || after > len(d.changes), Hosts: []endpointJSON{}}
	notified = slices.Clone(d.entries)
	if !list.Whole {
		notified = d.changedEntries(after)
	}
	for _, entry := range notified {
		if !list.Whole || entry.state != checker.Deleted { // the complete list has no deleted endpoints
			list.Hosts = append(list.Hosts, d.entryJSON(relay, entry))
		}
	}
	return list, notified
}

// changedEntries returns the entries that changed after a version, each once; the lock is held.
func (d *discoveryServer) changedEntries(after int) (changed []endpointEntry) {
	seen := map[int]bool{}
	for _, index := range d.changes[after:] {
		if !seen[index] {
			seen[index] = true
			changed = append(changed, d.entries[index])
		}
	}
	return changed
}

// entryJSON returns an entry in the protocol's form, with the address for a relay.
func (d *discoveryServer) entryJSON(relay int, entry endpointEntry) endpointJSON {
	e := entry.endpoint
	dest := &d.harness.scenario.Destinations[e.destination.number]
	return endpointJSON{
		Host: e.id, Dial: e.addrs[relay], Site: dest.Zone, Class: dest.Kind, Block: e.destination.number,
		Health: entry.state, Share: d.harness.scenario.AdmittedRate(dest), BornMS: entry.bornMS,
	}
}

// initialList returns the complete list for a relay's configuration.
func (d *discoveryServer) initialList(relay int) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, _ := d.list(relay, 0)
	return list
}

// recordNotified records the entries of which a relay was notified.
func (d *discoveryServer) recordNotified(relay int, notified []endpointEntry) {
	for _, entry := range notified {
		d.harness.record(checker.Event{
			Kind: checker.EndpointNotified, Relay: relay, Endpoint: entry.endpoint.id,
			Destination: entry.endpoint.destination.number, State: entry.state,
		})
	}
}

// serveEndpointList responds with the endpoint list, once or as a watch.
func (d *discoveryServer) serveEndpointList(relay int, w http.ResponseWriter, req *http.Request) {
	h := d.harness
	if failure, _ := d.currentFailure(); failure != discoveryWorks {
		h.record(checker.Event{Kind: checker.WatchRequested, Relay: relay})
		d.respondFailed(failure, w, req)
		return
	}
	if req.URL.Query().Get("stream") != "1" {
		d.mu.Lock()
		list, notified := d.list(relay, 0)
		d.mu.Unlock()
		if json.NewEncoder(w).Encode(list) == nil {
			d.recordNotified(relay, notified)
			h.record(checker.Event{Kind: checker.WatchRequested, Relay: relay, OK: true})
			h.record(checker.Event{Kind: checker.WatchEnded, Relay: relay})
		}
		return
	}
	after, _ := strconv.Atoi(req.URL.Query().Get("index")) // absent: 0, which requests the complete list
	h.record(checker.Event{Kind: checker.WatchRequested, Relay: relay, OK: true})
	defer h.record(checker.Event{Kind: checker.WatchEnded, Relay: relay})
	watch := &endpointWatch{
		server: d, relay: relay, version: after, out: w, flusher: http.NewResponseController(w), copies: make(chan []byte, maxPendingCopies),
	}
	// An error means that the relay has closed the connection. The relay starts another watch.
	_ = watch.run(req)
}

// endpointWatch is one relay's watch on the endpoint list.
type endpointWatch struct {
	server  *discoveryServer
	relay   int
	version int // up to which the relay has been notified
	started bool
	out     http.ResponseWriter
	flusher *http.ResponseController
	copies  chan []byte // events to be written once more
}

// run writes watch events until the relay or the harness ends the watch.
func (w *endpointWatch) run(req *http.Request) error {
	keepAlive := time.NewTicker(watchKeepAlive)
	defer keepAlive.Stop()
	for {
		changed, err := w.notify()
		if err != nil {
			return err
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return nil
		case <-w.server.closing:
			return nil
		case event := <-w.copies:
			if err := w.write(event); err != nil {
				return err
			}
			w.server.harness.extra.count(false, false)
		case <-keepAlive.C:
			if err := w.write([]byte("\n")); err != nil {
				return err
			}
		}
	}
}

// notify writes the changes since the last watch event. It returns a channel that is closed at the next change.
func (w *endpointWatch) notify() (changed <-chan struct{}, err error) {
	d := w.server
	d.mu.Lock()
	failure, changed := d.failure, d.changed
	var list endpointList
	var notified []endpointEntry
	if !w.started || w.version < len(d.changes) {
		list, notified = d.list(w.relay, w.version)
		w.started, w.version = true, len(d.changes)
	}
	d.mu.Unlock()
	if failure != discoveryWorks {
		panic(http.ErrAbortHandler) // net/http closes the connection, which ends the watch
	}
	if list.Seq == 0 {
		return changed, nil
	}
	event, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode a watch event: %w", err)
	}
	event = append(event, '\n')
	if err := w.write(event); err != nil {
		return nil, err
	}
	w.followEvent(event)
	d.recordNotified(w.relay, notified)
	return changed, nil
}

// followEvent schedules a copy of a watch event, if the event is followed by one.
func (w *endpointWatch) followEvent(event []byte) {
	fault, delay := w.server.harness.extra.draw(scenario.SourceDiscovery, "")
	if fault == nil {
		return
	}
	time.AfterFunc(delay, func() {
		select {
		case w.copies <- event:
		default:
		}
	})
}

// write writes and flushes a part of the watch.
func (w *endpointWatch) write(part []byte) error {
	_, err := w.out.Write(part)
	if err = errors.Join(err, w.flusher.Flush()); err != nil {
		return fmt.Errorf("write to a watch: %w", err)
	}
	return nil
}
