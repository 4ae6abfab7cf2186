package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

const (
	// noticeTimeout bounds one post, and noticeAgain is the pause after one that failed: a notice has to
	// be through within 300 ms of the end of its message's time.
	noticeTimeout = time.Second
	noticeAgain   = 50 * time.Millisecond
	// noticeBatch notices go in one post at most.
	noticeBatch = 500
)

// Notice is the end of a message that was taken on and not delivered.
type Notice struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	AgainMS int64  `json:"again_ms,omitempty"`
}

// The states of a notice.
const (
	undeliverable = "undeliverable"
	deferred      = "deferred"
)

// notifier posts notices to the platform until they are received.
type notifier struct {
	url    string
	client *http.Client
	done   func(ids []string)
	more   chan struct{} // something is owed

	mu   sync.Mutex
	owed []Notice // as many as the journal has room for
}

func newNotifier(discovery string, done func([]string)) *notifier {
	return &notifier{url: "http://" + discovery + "/v1/outcomes", done: done, more: make(chan struct{}, 1),
		client: &http.Client{Timeout: noticeTimeout}}
}

// owe adds a notice; it never blocks, however long the platform may be out of reach.
func (n *notifier) owe(notice Notice) {
	n.mu.Lock()
	n.owed = append(n.owed, notice)
	n.mu.Unlock()
	select {
	case n.more <- struct{}{}:
	default: // known already
	}
}

// take gives the next batch, or nothing.
func (n *notifier) take() []Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.owed[:min(len(n.owed), noticeBatch)]
	n.owed = n.owed[len(batch):]
	return batch
}

// run posts what is owed until ctx ends.
func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.more:
		}
		for batch := n.take(); len(batch) > 0; batch = n.take() {
			n.deliver(ctx, batch)
		}
	}
}

// deliver posts a batch until it is received. One that can't be read goes in parts, so that a bad notice
// keeps back no other, and a single one is dropped.
func (n *notifier) deliver(ctx context.Context, batch []Notice) {
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
		sleep(ctx, noticeAgain)
	}
}

func (n *notifier) post(ctx context.Context, batch []Notice) (int, error) {
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	for _, b := range batch {
		if err := lines.Encode(b); err != nil {
			return 0, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.url, &body)
	if err != nil {
		return 0, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	return resp.StatusCode, err
}
