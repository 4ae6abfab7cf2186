package notification

// Notice is the terminal outcome of a request that was accepted and not delivered.
type Notice struct {
	ID           string `json:"id"` // the request's
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms,omitempty"` // of Deferred: when the client may submit again, in milliseconds
}

// The values of a notice's status.
const (
	// Undeliverable: the request failed.
	Undeliverable = "undeliverable"
	// Deferred: the request was shed, and the client may submit it again.
	Deferred = "deferred"
)

// ids returns the requests of notices.
func ids(batch []Notice) []string {
	ids := make([]string, len(batch))
	for i, notice := range batch {
		ids[i] = notice.ID
	}
	return ids
}
