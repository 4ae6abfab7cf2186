package socket

import (
	"errors"
	"fmt"
	"syscall"

	"frostlink/internal/syserr"
)

// maxPeekAttempts bounds the attempts of Peek if signals interrupt the system call.
const maxPeekAttempts = 10

// Peek reports, without waiting and without reading, whether a connection has unread bytes: n > 0 if it
// has, n = 0 at the end of the stream, or the error EAGAIN if nothing has arrived. A shortage on this
// machine also gives EAGAIN, so that a temporary error drops no request and closes no connection.
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
