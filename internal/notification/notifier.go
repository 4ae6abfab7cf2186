package notification

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/socket"
	"frostlink/internal/wait"
)

const (
	// postTimeout bounds one post, and retryDelay is the pause after a failed post. A notice has to be
	// acknowledged within 300 ms of its request's deadline. Two posts may time out within this period.
	postTimeout = 120 * time.Millisecond
	retryDelay  = 20 * time.Millisecond
	// maxConcurrentPosts is the maximum number of posts in flight. Posts run concurrently so that a stalled
	// post or connection does not delay the others.
	maxConcurrentPosts = 4
	// maxBatchSize is the maximum number of notices in one post.
	maxBatchSize = 500
)

// Notifier posts notices to the platform until they are acknowledged.
type Notifier struct {
	client         *http.Client
	onAcknowledged func(ids []string)
	queue          *queue

	mu      sync.Mutex // guards url and changed
	url     string
	changed chan struct{} // closed when url is replaced
}

// New returns a notifier that posts to the platform at an address while Run runs. It calls onAcknowledged
// with the ids of requests whose notices were acknowledged, or dropped because the platform rejected them.
func New(address string, onAcknowledged func(ids []string)) *Notifier {
	// Each post has a connection of its own: nothing in a response names its request, so that on a connection that is used again a
	// second response to an earlier post would acknowledge notices that the platform has not received.
	transport := &http.Transport{
		DisableKeepAlives: true, DialContext: new(socket.Dialer).DialContext, MaxResponseHeaderBytes: maxHeaderSize,
	}
	return &Notifier{
		client:         &http.Client{Timeout: postTimeout, Transport: transport},
		onAcknowledged: onAcknowledged, queue: newQueue(),
		url: outcomesURL(address), changed: make(chan struct{}),
	}
}

// Enqueue adds a notice. It never blocks, even if the platform is unreachable.
func (n *Notifier) Enqueue(notice Notice) { n.queue.add(notice) }

// SetAddress sets the platform's address. Posts in flight are canceled, and their notices are posted to the
// new address.
func (n *Notifier) SetAddress(address string) {
	n.mu.Lock()
	n.url = outcomesURL(address)
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.client.CloseIdleConnections()
}

// Run posts notices until ctx ends, and returns when the posts in flight have ended.
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

// deliver posts a batch until it is acknowledged. A batch that the platform rejects as malformed is split,
// so that a malformed notice does not block the others. A single malformed notice is dropped.
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
			slog.Error("notice rejected by the platform; notice dropped", logkey.RequestID, batch[0].ID)
			n.onAcknowledged(ids(batch))
			return
		}
		slog.Warn("notices not acknowledged; retrying", logkey.Count, len(batch), logkey.Status, status, logkey.Err, err)
		wait.For(ctx, retryDelay)
	}
}
