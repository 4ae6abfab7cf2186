package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
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
	in     chan Notice
	done   func(ids []string)
}

// newNotifier makes a notifier that can hold room notices without blocking who owes them.
func newNotifier(discovery string, room int, done func([]string)) *notifier {
	return &notifier{url: "http://" + discovery + "/v1/outcomes", done: done, in: make(chan Notice, room),
		client: &http.Client{Timeout: noticeTimeout}}
}

// run posts what is owed until ctx ends.
func (n *notifier) run(ctx context.Context) {
	for {
		var batch []Notice
		select {
		case <-ctx.Done():
			return
		case first := <-n.in:
			batch = append(batch, first)
		}
		for len(batch) < noticeBatch && len(n.in) > 0 {
			batch = append(batch, <-n.in)
		}
		n.deliver(ctx, batch)
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
