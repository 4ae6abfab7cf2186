// Package waittest waits in tests: how long that takes decides nothing.
package waittest

import (
	"testing"
	"time"
)

// Long is longer than anything that a test waits for in vain.
const Long = 20 * time.Second

// Receive waits for a value.
func Receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Long):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}
