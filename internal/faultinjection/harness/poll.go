package harness

import (
	"context"
	"time"

	"frostlink/internal/wait"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// pollUntil waits for a condition to hold, and reports whether it did before the timeout passed or ctx ended.
func pollUntil(ctx context.Context, timeout time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) || !wait.For(ctx, pollInterval) {
			return false
		}
	}
	return true
}
