// Package socket looks at sockets beneath net's connections.
package socket

import (
	"errors"
	"syscall"
	"time"

	"frostlink/internal/syserr"
)

// Past is a deadline that has passed: set on a connection, it ends what waits there.
var Past = time.Unix(1, 0)

// peekTries is how often a look is made again that a signal interrupted.
const peekTries = 10

// Peek looks at what a connection has to read, without waiting: n > 0 bytes, its end (0), or EAGAIN. A look that fails for want of
// something on this machine tells nothing, which is EAGAIN too: it guards against a request that is dropped, or a connection that is
// closed, for what passes.
func Peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		for range peekTries {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
	})
	if syserr.Classify(syserr.Read, err) == syserr.Local {
		n, err = -1, syscall.EAGAIN
	}
	return n, errors.Join(controlErr, err)
}
