// Package waittest provides waits for tests, with a timeout so long that a test reaches it only when it fails.
package waittest

import (
	"testing"
	"time"
)

// Long is longer than any operation that a test waits for.
const Long = 20 * time.Second

// Receive returns the next value of a channel, and fails the test if none arrives within Long.
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

// Until waits until a condition holds, and fails the test if it does not hold within Long.
func Until(t *testing.T, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > Long {
			t.Fatalf("condition does not hold within %v", Long)
		}
	}
}
