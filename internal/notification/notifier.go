package notification

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/wait"
)

const (
	// postTimeout bounds one post, and retryDelay is between a post that failed and the next: a
	// notice has to be acknowledged within 300 ms of its request's deadline, so that two posts may
	// stall.
	postTimeout = 120 * time.Millisecond
	retryDelay  = 20 * time.Millisecond
	// maxConcurrentPosts are made at once, so that one that stalls holds up no other. Their
	// connections persist: a connection for each post would be a hundred a second where many
	// requests fail, and establishing one may stall for a second.
	maxConcurrentPosts = 4
	idleConnTimeout    = 5 * time.Second
	// maxBatchSize bounds the notices of one post.
	maxBatchSize = 500
)

// Notifier posts notices to the platform until they are acknowledged.
type Notifier struct {
	client         *http.Client
	onAcknowledged func(ids []string)
	queue          *queue

	mu      sync.Mutex // guards the two below
	url     string
	changed chan struct{} // closed when url is replaced
}

// New returns a notifier that, once it runs, posts to the platform at an address. It calls
// onAcknowledged with the ids of requests whose notices need no further post.
func New(address string, onAcknowledged func(ids []string)) *Notifier {
	transport := &http.Transport{
		MaxConnsPerHost: maxConcurrentPosts, MaxIdleConnsPerHost: maxConcurrentPosts, IdleConnTimeout: idleConnTimeout,
	}
	return &Notifier{
		client:         &http.Client{Timeout: postTimeout, Transport: transport},
		onAcknowledged: onAcknowledged, queue: newQueue(),
		url: outcomesURL(address), changed: make(chan struct{}),
	}
}

// Enqueue adds a notice. It never blocks, however long the platform may be unreachable.
func (n *Notifier) Enqueue(notice Notice) { n.queue.add(notice) }

// SetAddress posts notices to another address from now on, also those that are being posted.
func (n *Notifier) SetAddress(address string) {
	n.mu.Lock()
	n.url = outcomesURL(address)
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.client.CloseIdleConnections()
}

// Run posts notices until ctx ends, and returns when the posts in flight have ended too.
func (n *Notifier) Run(ctx context.Context) {
	var posters sync.WaitGroup
	for range maxConcurrentPosts {
		posters.Go(func() { n.postBatches(ctx) })
	}
	<-ctx.Done()
	n.queue.close()
	posters.Wait()
	n.client.CloseIdleConnections()
}

// postBatches posts one batch after another until the queue is closed.
func (n *Notifier) postBatches(ctx context.Context) {
	for {
		batch := n.queue.nextBatch(maxBatchSize)
		if len(batch) == 0 {
			return
		}
		n.deliver(ctx, batch)
	}
}

// deliver posts a batch until it is acknowledged. A batch that the platform cannot read is split,
// so that a malformed notice holds up no other, and a single one is dropped.
func (n *Notifier) deliver(ctx context.Context, batch []Notice) {
	for ctx.Err() == nil {
		status, err := n.post(ctx, batch)
		switch {
		case err == nil && status == http.StatusNoContent:
			n.onAcknowledged(ids(batch))
			return
		case err == nil && status == http.StatusBadRequest && len(batch) > 1:
			n.deliver(ctx, batch[:len(batch)/2])
			n.deliver(ctx, batch[len(batch)/2:])
			return
		case err == nil && status == http.StatusBadRequest:
			slog.Error("notice rejected", logkey.RequestID, batch[0].ID)
			n.onAcknowledged(ids(batch))
			return
		}
		slog.Warn("notices not acknowledged", logkey.Count, len(batch), logkey.Status, status, logkey.Err, err)
		wait.For(ctx, retryDelay)
	}
}
