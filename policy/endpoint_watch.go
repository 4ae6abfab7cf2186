package policy

import (
	"time"
)

const (
	// watchRetryDelay is the wait before a failed subscription is asked for again.
	watchRetryDelay = 500 * time.Millisecond
)
