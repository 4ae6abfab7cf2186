package harness

import (
	"errors"
	"syscall"
	"time"
)

const (
	// rebindTimeout is how long an address may stay in use after its listener was closed: a process that is being started has a
	// duplicate of the listener until it executes its program.
	rebindTimeout = 200 * time.Millisecond
	// rebindPause is the time between two attempts to listen at such an address.
	rebindPause = time.Millisecond
)

// rebind calls listen again, at most for rebindTimeout, as long as the address is still in use.
func rebind[T any](listen func() (T, error)) (listener T, err error) {
	for end := time.Now().Add(rebindTimeout); ; time.Sleep(rebindPause) {
		listener, err = listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
	}
}
