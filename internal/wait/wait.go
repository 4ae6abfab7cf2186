// Package wait pauses a goroutine, bounded by a context.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx has ended, and reports whether ctx has not. A d of zero or less
// does not wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
