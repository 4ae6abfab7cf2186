package socket

import (
	"errors"
	"fmt"
	"syscall"

	"frostlink/internal/syserr"
)

// maxPeekAttempts is how often a look that a signal interrupts is attempted.
const maxPeekAttempts = 10

// Peek returns what a connection has to read, without waiting: n > 0 bytes, 0 at its end, or the error
// EAGAIN where there is nothing. A look that fails for a shortage on this machine is EAGAIN too, against
// requests that are dropped and connections that are closed for a temporary error.
func Peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("socket: peek: %w", err)
	}
	var b [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		for range maxPeekAttempts {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
	})
	if isLocal(syserr.Read, err) {
		n, err = -1, syscall.EAGAIN
	}
	return n, errors.Join(controlErr, err)
}
