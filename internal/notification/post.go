package notification

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxResponseSize is the maximum number of bytes read of a response, and maxHeaderSize that of its header.
const (
	maxResponseSize = 64 << 10
	maxHeaderSize   = 8 << 10
)

// outcomesURL returns the URL to which notices are posted for a platform's address.
func outcomesURL(address string) string { return "http://" + address + "/v1/outcomes" }

// post posts a batch once and returns the response's status. It is canceled if the platform's address
// changes.
func (n *Notifier) post(ctx context.Context, batch []Notice) (status int, err error) {
	body, err := encode(batch)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	url, changed := n.url, n.changed
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOn(ctx, changed, cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return 0, fmt.Errorf("post notices: %w", err)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("post notices: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseSize)); err != nil {
		return resp.StatusCode, fmt.Errorf("post notices: %w", err)
	}
	return resp.StatusCode, nil
}

// cancelOn cancels a post if the platform's address changes. It returns at the latest when the post's
// context ends.
func cancelOn(ctx context.Context, changed <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-changed:
		cancel()
	case <-ctx.Done():
	}
}

// encode returns the body of a post: one JSON value per line.
func encode(batch []Notice) (*bytes.Buffer, error) {
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	for _, notice := range batch {
		if err := lines.Encode(notice); err != nil {
			return nil, fmt.Errorf("encode notice %s: %w", notice.ID, err)
		}
	}
	return &body, nil
}
