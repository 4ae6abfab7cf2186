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

// Watcher watches discovery's endpoint list. It starts a watch each time that it is asked to, and
// reports when it ends; whether to ask again is the caller's decision, the backoff while discovery
// is down the watcher's.
type Watcher struct {
	address    string // discovery's
	client     *http.Client
	maxSilence time.Duration // maxSilence, but in tests
	subscribed chan struct{} // has room for one: a watch is wanted
	addresses  chan string   // where discovery is from now on
	done       chan struct{} // closed when Run has returned

	onList     func(list EndpointList, address string)
	onWatchEnd func(lists int)
	relays     int   // that share discovery
	seed       int64 // of the spread of watches

	// Seq is the sequence number of the list as it is known. It is set before Run.
	Seq int64
	// OnSubscribe, where set, is called as each watch is asked for. It is set before Run.
	OnSubscribe func()
}

// NewWatcher returns a watcher of discovery at an address. Once it runs, onList gets each list or
// change of it, with the address that it came from, and onWatchEnd is called as each watch ends,
// with how many lists it had brought.
func NewWatcher(address string, onList func(list EndpointList, address string), onWatchEnd func(lists int)) *Watcher {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: new(socket.Dialer).DialContext}
	return &Watcher{
		address: address, client: &http.Client{Transport: transport}, maxSilence: maxSilence,
		subscribed: make(chan struct{}, 1), addresses: make(chan string), done: make(chan struct{}),
		onList: onList, onWatchEnd: onWatchEnd, relays: 1,
	}
}

// ShareWith sets how many relays share discovery, this one included, and the seed of what spreads
// their watches. It is called before Run.
func (w *Watcher) ShareWith(relays int, seed int64) { w.relays, w.seed = max(1, relays), seed }

// Subscribe asks for a watch. It never blocks.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default: // one is asked for already
	}
}

// SetAddress ends the watch and starts one at another address, at once and without a call of
// onWatchEnd.
func (w *Watcher) SetAddress(address string) {
	select {
	case w.addresses <- address:
	case <-w.done:
	}
}

// Run serves what is asked for until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		w.runAtAddress(ctx)
	}
}

// runAtAddress follows discovery at its address until that changes or ctx ends.
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
		// Sequence numbers of another discovery need not continue those of the last one: only its
		// whole list tells what has changed.
		w.address, w.Seq = address, 0
		w.Subscribe()
	}
}

// follow starts the watches that are asked for, by the schedule, until ctx ends.
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
