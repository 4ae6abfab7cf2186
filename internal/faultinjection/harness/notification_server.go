package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// notificationJSON is a terminal outcome that a relay notifies the platform of, in the protocol's form.
type notificationJSON struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	AgainMS int64  `json:"again_ms"`
}

// retryAfter returns when the client is to submit the message again.
func (n *notificationJSON) retryAfter() time.Duration {
	return time.Duration(n.AgainMS) * time.Millisecond
}

// valid reports whether a notification has the protocol's form.
func (n *notificationJSON) valid() bool {
	return n.ID != "" && (n.Status == checker.Undeliverable || n.Status == checker.Deferred)
}

// malformedNotificationError is the error for a line that is not a valid notification.
type malformedNotificationError struct{ line string }

func (e *malformedNotificationError) Error() string { return fmt.Sprintf("%.100q", e.line) }

// parseNotifications reads notifications, one a line.
func parseNotifications(body io.Reader) (all []notificationJSON, err error) {
	for lines := bufio.NewScanner(body); lines.Scan(); {
		var n notificationJSON
		if json.Unmarshal(lines.Bytes(), &n) != nil || !n.valid() {
			return nil, &malformedNotificationError{lines.Text()}
		}
		all = append(all, n)
	}
	return all, nil
}

// serveNotifications receives terminal outcomes, also while discovery fails.
func (d *discoveryServer) serveNotifications(relay int, w http.ResponseWriter, req *http.Request) {
	h := d.harness
	all, err := parseNotifications(req.Body)
	if err != nil {
		h.recordFailure("relay %d posted a notice that can't be read: %v", relay+1, err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for i := range all {
		n := &all[i]
		h.record(checker.Event{Kind: checker.Notified, ID: n.ID, Relay: relay, State: n.Status, Duration: n.retryAfter()})
		if s := h.ledger.completed(n.ID); s != nil && n.Status == checker.Deferred {
			h.clients.retryRejected(s, n.retryAfter())
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
