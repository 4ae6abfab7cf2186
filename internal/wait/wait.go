// Package wait waits for a time that may be cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d, and tells whether ctx is still alive after it.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
