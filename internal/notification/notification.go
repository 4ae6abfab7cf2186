// Package notification posts the ends of messages to the platform until they are received.
package notification

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"frostlink/internal/wait"
)

const (
	// noticeTimeout bounds one post, and noticeAgain is the pause after one that failed: a notice has to be through
	// within 300 ms of the end of its message's time, so that two posts may stall.
	noticeTimeout = 120 * time.Millisecond
	noticeAgain   = 20 * time.Millisecond
	// noticePosts go out at once, so that one that stalls holds up no other. Their connections are kept: a connection for
	// each post would be a hundred a second where much is given up, and the making of one may stall for a second.
	noticePosts = 4
	// maxAnswer bytes of an answer are read.
	maxAnswer = 64 << 10
	// noticeBatch notices go in one post at most.
	noticeBatch = 500
)

// Notice is the end of a message that was taken on and not delivered.
type Notice struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms,omitempty"`
}

// The states of a notice.
const (
	Undeliverable = "undeliverable"
	Deferred      = "deferred"
)

// Notifier posts notices to the platform until they are received.
type Notifier struct {
	client *http.Client
	done   func(ids []string)

	mu    sync.Mutex
	more  sync.Cond // something is owed, or all is at its end
	ended bool
	owed  []Notice // as many as the journal has room for
	url   string
	moved chan struct{} // closed when url is no longer right
}

// New posts to a discovery's address once it runs; done gets the ids of what was received.
func New(discovery string, done func([]string)) *Notifier {
	n := &Notifier{
		url: outcomesAt(discovery), done: done, moved: make(chan struct{}),
		client: &http.Client{Timeout: noticeTimeout, Transport: &http.Transport{
			MaxConnsPerHost:     noticePosts,
			MaxIdleConnsPerHost: noticePosts, IdleConnTimeout: 5 * time.Second,
		}},
	}
	n.more.L = &n.mu
	return n
}

func outcomesAt(discovery string) string { return "http://" + discovery + "/v1/outcomes" }

// SetAddress has notices posted at another address from now on, those that are being posted as well.
func (n *Notifier) SetAddress(discovery string) {
	n.mu.Lock()
	n.url = outcomesAt(discovery)
	close(n.moved)
	n.moved = make(chan struct{})
	n.mu.Unlock()
	n.client.CloseIdleConnections()
}

// Enqueue adds a notice; it never blocks, however long the platform may be out of reach.
func (n *Notifier) Enqueue(notice Notice) {
	n.mu.Lock()
	n.owed = append(n.owed, notice)
	n.mu.Unlock()
	n.more.Signal()
}

// take waits for something owed and gives the next batch, or nothing at the end.
func (n *Notifier) take() []Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.owed) == 0 && !n.ended {
		n.more.Wait()
	}
	if n.ended {
		return nil
	}
	batch := slices.Clone(n.owed[:min(len(n.owed), noticeBatch)])
	n.owed = slices.Delete(n.owed, 0, len(batch))
	return batch
}

// Run posts what is owed until ctx ends.
func (n *Notifier) Run(ctx context.Context) {
	var posters sync.WaitGroup
	for range noticePosts {
		posters.Go(func() {
			for batch := n.take(); len(batch) > 0; batch = n.take() {
				n.deliver(ctx, batch)
			}
		})
	}
	<-ctx.Done()
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	n.more.Broadcast()
	posters.Wait()
	n.client.CloseIdleConnections()
}

// deliver posts a batch until it is received. One that can't be read goes in parts, so that a bad notice
// keeps back no other, and a single one is dropped.
func (n *Notifier) deliver(ctx context.Context, batch []Notice) {
	for ctx.Err() == nil {
		status, err := n.post(ctx, batch)
		switch {
		case err == nil && status == http.StatusBadRequest && len(batch) > 1:
			n.deliver(ctx, batch[:len(batch)/2])
			n.deliver(ctx, batch[len(batch)/2:])
			return
		case err == nil && (status == http.StatusNoContent || status == http.StatusBadRequest):
			if status == http.StatusBadRequest {
				slog.Error("notice rejected", "id", batch[0].ID)
			}
			ids := make([]string, len(batch))
			for i, b := range batch {
				ids[i] = b.ID
			}
			n.done(ids)
			return
		}
		slog.Warn("notices not received", "status", status, "err", err)
		wait.For(ctx, noticeAgain)
	}
}

func (n *Notifier) post(ctx context.Context, batch []Notice) (int, error) {
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	for _, b := range batch {
		if err := lines.Encode(b); err != nil {
			return 0, err
		}
	}
	n.mu.Lock()
	url, moved := n.url, n.moved
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &body)
	if err != nil {
		return 0, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, err
}
