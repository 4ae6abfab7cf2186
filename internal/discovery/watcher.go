package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/socket"
	"frostlink/internal/wait"
)

// Watcher watches the endpoint list of the discovery service. It starts a watch each time the caller
// subscribes, and reports when the watch ends. The caller decides whether to subscribe again; the
// watcher applies the backoff while discovery is down.
type Watcher struct {
	address    string // address of the discovery service
	client     *http.Client
	maxSilence time.Duration // the constant maxSilence, except in tests
	subscribed chan struct{} // buffers one request for a watch
	addresses  chan string   // new addresses of the discovery service
	done       chan struct{} // closed when Run returns

	onList     func(list EndpointList, address string)
	onWatchEnd func(lists int)
	relays     int   // number of relays that share discovery
	seed       int64 // seed of the schedule

	// Seq is the sequence number of the last received list. It must be set before Run.
	Seq int64
	// MaxEndpoints bounds the endpoints of one list; a longer one is unreadable. 0: no bound. It must be set before Run.
	MaxEndpoints int
	// OnSubscribe, if set, is called before each request for a watch. It must be set before Run.
	OnSubscribe func()
}

// NewWatcher returns a watcher of the discovery service at an address. While it runs, it calls onList
// with each list or change and the address from which it was received, and onWatchEnd at the end of
// each watch with the number of lists that the watch reported.
func NewWatcher(address string, onList func(list EndpointList, address string), onWatchEnd func(lists int)) *Watcher {
	transport := &http.Transport{
		DisableKeepAlives: true, DialContext: new(socket.Dialer).DialContext, MaxResponseHeaderBytes: maxHeaderSize,
	}
	return &Watcher{
		address: address, client: &http.Client{Transport: transport}, maxSilence: maxSilence,
		subscribed: make(chan struct{}, 1), addresses: make(chan string), done: make(chan struct{}),
		onList: onList, onWatchEnd: onWatchEnd, relays: 1,
	}
}

// ShareWith sets the number of relays that share discovery, including this one, and the seed of the
// schedule that spreads their watches. It must be called before Run.
func (w *Watcher) ShareWith(relays int, seed int64) { w.relays, w.seed = max(1, relays), seed }

// Subscribe requests a watch. It never blocks.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default: // a watch is already requested
	}
}

// SetAddress ends the current watch without a call of onWatchEnd, and requests one from another
// address. The caller need not call Subscribe. The request is delayed only in a large fleet (see
// [Schedule.Start]).
func (w *Watcher) SetAddress(address string) {
	select {
	case w.addresses <- address:
	case <-w.done:
	}
}

// Run runs the requested watches, one at a time, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		w.runAtAddress(ctx)
	}
}

// runAtAddress runs watches at the current address until the address changes or ctx ends.
func (w *Watcher) runAtAddress(ctx context.Context) {
	followCtx, stop := context.WithCancel(ctx)
	var follower sync.WaitGroup
	follower.Go(func() { w.follow(followCtx) })
	defer follower.Wait()
	defer stop()
	select {
	case <-ctx.Done():
	case address := <-w.addresses:
		stop()
		follower.Wait()
		// The sequence numbers of another discovery service need not continue those of the previous
		// one, so the whole list is needed.
		w.address, w.Seq = address, 0
		w.Subscribe()
	}
}

// follow runs the requested watches, with the delays of the schedule, until ctx ends.
func (w *Watcher) follow(ctx context.Context) {
	schedule := NewSchedule(w.relays, w.seed)
	delay := schedule.Start()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.subscribed:
		}
		if !wait.For(ctx, delay) {
			return
		}
		start := time.Now()
		lists, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("watch ended", logkey.Discovery, w.address, logkey.Count, lists, logkey.Err, err)
		if delay = schedule.Retry(time.Since(start)); errors.Is(err, ErrSilentWatch) {
			delay = schedule.AfterSilence()
		}
		w.onWatchEnd(lists)
	}
}
