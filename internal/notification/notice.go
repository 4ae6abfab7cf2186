package notification

// Notice reports the terminal outcome of a request that was accepted and not delivered.
type Notice struct {
	ID           string `json:"id"` // the id of the request
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms,omitempty"` // for Deferred: milliseconds until the client may submit again
}

// The values of a notice's status.
const (
	// Undeliverable: the request failed.
	Undeliverable = "undeliverable"
	// Deferred: the request was shed, and the client may submit it again.
	Deferred = "deferred"
)

// ids returns the request ids of notices.
func ids(batch []Notice) []string {
	ids := make([]string, len(batch))
	for i, notice := range batch {
		ids[i] = notice.ID
	}
	return ids
}
