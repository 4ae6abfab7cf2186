// Package waittest waits in tests with a bound so long that no result depends on it.
package waittest

import (
	"testing"
	"time"
)

// Long is longer than anything that a test expects takes.
const Long = 20 * time.Second

// Receive returns the next value of a channel, or fails the test if none comes.
func Receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Long):
		t.Fatalf("no value received within %v", Long)
		panic("not reached")
	}
}
