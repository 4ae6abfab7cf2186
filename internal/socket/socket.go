// Package socket looks at sockets beneath net's connections.
package socket

import (
	"errors"
	"syscall"
	"time"
)

// Past is a deadline that has passed: set on a connection, it ends what waits there.
var Past = time.Unix(1, 0)

// Peek looks at what a connection has to read, without waiting: n > 0 bytes, its end (0), or EAGAIN.
func Peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(controlErr, err)
}
