// Package discovery follows the list of hosts by a watch on the platform's discovery.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"frostlink/internal/settings"
	"frostlink/internal/socket"
	"frostlink/internal/wait"
	"frostlink/policy"
)

const (
	// watchSilence without a byte means that a watch is dead: an empty line comes every 2 s, and an answer begins within the
	// 2 s that discovery works on a call. What it misses counts as told 6 s after it fell silent, whether or not it came: that
	// leaves time for a new watch, also where all relays want one at once (silentSpan).
	watchSilence = 3 * time.Second
	// maxList bounds one list of a watch, in bytes.
	maxList = 1 << 20
)

var (
	errSilent  = errors.New("no byte came for too long")
	errOlder   = errors.New("a list older than the one that is held")
	errTooLong = fmt.Errorf("a list of over %d bytes", maxList)
)

// EndpointList is the list of hosts, or a change of it, in discovery's form.
type EndpointList struct {
	Seq       int64      `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one host of the list.
type Endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

// The states of a host that mean that it wants nothing new.
const (
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Event translates a list into the policy's terms.
func (m EndpointList) Event(s *settings.Settings) policy.EndpointsChanged {
	e := policy.EndpointsChanged{Full: m.Full}
	for _, h := range m.Endpoints {
		e.Endpoints = append(e.Endpoints, policy.Endpoint{
			ID: h.Host, Destination: h.Block,
			Kind: slices.Index(s.Shapes, h.Class), Zone: slices.Index(s.Localities, h.Site), Weight: h.Share,
			Draining: h.Health == Draining, Removed: h.Health == Deleted,
		})
	}
	return e
}

// Apply gives the whole list as it stands after a change.
func (m *EndpointList) Apply(by EndpointList) *EndpointList {
	if by.Full || m == nil {
		by.Endpoints = slices.Clone(by.Endpoints)
	} else {
		named := map[string]bool{}
		for _, h := range by.Endpoints {
			named[h.Host] = true
		}
		stay := slices.DeleteFunc(slices.Clone(m.Endpoints), func(h Endpoint) bool { return named[h.Host] })
		by.Endpoints = append(stay, by.Endpoints...)
	}
	by.Full = true
	by.Endpoints = slices.DeleteFunc(by.Endpoints, func(h Endpoint) bool { return h.Health == Deleted })
	return &by
}

// Watcher keeps a watch on discovery's list. It starts one each time that it is asked, and reports when it
// ends; whether and when to ask again is the module's decision, a back-off while discovery is down ours.
type Watcher struct {
	from    string // discovery's address
	client  *http.Client
	silence time.Duration // watchSilence, but in tests
	asked   chan struct{}
	moved   chan string   // where discovery is now
	ended   chan struct{} // closed when Run has returned
	Seq     int64         // of the list as it stands; set before run
	told    func(m EndpointList, from string)
	failed  func(lines int)
	relays  int   // that share discovery
	seed    int64 // of the spread of asks
	// OnSubscribe, where set, hears of each ask. Set before Run.
	OnSubscribe func()
}

// NewWatcher watches at an address once it runs: told gets each list, or change of it, with the address that it came from,
// failed the end of each watch, with how many it had brought.
func NewWatcher(discovery string, told func(m EndpointList, from string), failed func(lines int)) *Watcher {
	return &Watcher{
		from: discovery, told: told, failed: failed, silence: watchSilence, relays: 1,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: new(socket.Dialer).DialContext}}, asked: make(chan struct{}, 1),
		moved: make(chan string), ended: make(chan struct{}),
	}
}

// ShareWith says how many relays share discovery, this one included, and seeds what spreads their asks. Before Run.
func (w *Watcher) ShareWith(relays int, seed int64) { w.relays, w.seed = max(1, relays), seed }

// Subscribe wants a watch; it never blocks.
func (w *Watcher) Subscribe() {
	select {
	case w.asked <- struct{}{}:
	default: // one is wanted already
	}
}

// SetAddress ends the watch and starts one at another address, at once and without a report.
func (w *Watcher) SetAddress(discovery string) {
	select {
	case w.moved <- discovery:
	case <-w.ended:
	}
}

// Run serves asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.ended)
	for {
		here, leave := context.WithCancel(ctx)
		var follower sync.WaitGroup
		follower.Go(func() { w.follow(here) })
		select {
		case <-ctx.Done():
		case discovery := <-w.moved:
			leave()
			follower.Wait()
			// Versions of another discovery need not continue those of the last one: only its whole list
			// tells what has changed.
			w.from, w.Seq = discovery, 0
			w.Subscribe()
		}
		leave()
		follower.Wait()
		if ctx.Err() != nil {
			return
		}
	}
}

// follow serves asks at one address until ctx ends.
func (w *Watcher) follow(ctx context.Context) {
	asks := NewSchedule(w.relays, w.seed)
	pause := asks.Start()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.asked:
		}
		if !wait.For(ctx, pause) {
			return
		}
		begun := time.Now()
		lines, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("watch ended", "lines", lines, "err", err)
		if pause = asks.Retry(time.Since(begun)); errors.Is(err, errSilent) {
			pause = asks.AfterSilence()
		}
		w.failed(lines)
	}
}

// watch follows one watch to its end and returns how many lists it brought.
func (w *Watcher) watch(ctx context.Context) (lines int, err error) {
	if w.OnSubscribe != nil {
		w.OnSubscribe()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Guards against a watch that has gone silent: a cut link ends no connection.
	dead := time.AfterFunc(w.silence, func() { cancel(errSilent) })
	defer dead.Stop()
	defer func() {
		if err != nil && context.Cause(ctx) == errSilent {
			err = errSilent
		}
	}()
	query := url.Values{"stream": {"1"}, "index": {strconv.FormatInt(w.Seq, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.from+"/catalog/members?"+query.Encode(), nil)
	if err != nil {
		return 0, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("discovery answered %s", resp.Status)
	}
	in := &bounded{from: resp.Body, heard: func() { dead.Reset(w.silence) }}
	for lists := json.NewDecoder(in); ; lines++ { // a list may be indented, over several lines
		var m EndpointList
		in.left = maxList
		err := lists.Decode(&m)
		switch {
		case errors.Is(err, io.EOF):
			return lines, errors.New("end of the answer")
		case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)), errors.Is(err, errTooLong):
			// What an unreadable list held is lost to the changes that follow: ask for the whole list.
			w.Seq = 0
			return lines, fmt.Errorf("unreadable list: %w", err)
		case err != nil:
			return lines, err
		case m.Seq < w.Seq:
			// Guards against a list that has lain somewhere: hosts that drain would be served again. The whole list that is
			// asked for next is what discovery has, also where it counts anew.
			w.Seq = 0
			return lines, errOlder
		}
		w.Seq = m.Seq
		w.told(m, w.from)
	}
}

// bounded reads no more than left bytes, and tells of each read that brought some.
type bounded struct {
	from  io.Reader
	left  int
	heard func()
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	if b.left -= n; n > 0 {
		b.heard()
	}
	return n, err
}
