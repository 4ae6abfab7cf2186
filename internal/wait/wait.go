// Package wait pauses a goroutine, bounded by a context.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx has ended. It returns true if ctx has not ended. If d is zero or
// less, For returns at once.
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
