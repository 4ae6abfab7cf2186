package policy

import (
	"time"
)

const (
	// subscribeAgain is the wait before a failed subscription is asked for again.
	subscribeAgain = 500 * time.Millisecond
)
