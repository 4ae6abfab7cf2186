package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// evictionGuard keeps a connection from being evicted while bytes that were read from it are being handled: they may be a complete
// request, which would be lost.
type evictionGuard struct {
	mu       sync.Mutex // guards the fields below; held for a system call at most
	handling bool       // bytes were read, and the goroutine of the connection does not wait for more
	evicted  bool       // the connection is about to be closed: nothing is read from it any more
}

// setHandling states whether bytes that were read are being handled.
func (g *evictionGuard) setHandling(handling bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handling = handling
}

// claimForEviction reports whether the connection may be closed: no bytes are unread, and none that were read are being handled. Nothing
// is read from it afterwards. The server's lock is held.
func (c *conn) claimForEviction() bool {
	c.eviction.mu.Lock()
	defer c.eviction.mu.Unlock()
	if c.eviction.handling && c.state != connLingering || c.hasUnread() {
		return false
	}
	c.eviction.evicted = true
	return true
}

// guardedReads is a connection whose reads take turns with its eviction.
type guardedReads struct{ *conn }

// Read waits for bytes and reads them, as net.TCPConn does.
func (r guardedReads) Read(b []byte) (int, error) {
	guard := &r.eviction
	return r.readWith(func(fd int) (n int, err error) {
		guard.mu.Lock()
		defer guard.mu.Unlock()
		if guard.evicted {
			return 0, net.ErrClosed
		}
		n, err = readSocket(fd, b)
		guard.handling = n > 0
		return n, err
	})
}

// readWith waits for input and has it read. The error at the end of the input is io.EOF.
func (c *conn) readWith(read func(fd int) (int, error)) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("read from a client: %w", err)
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		n, err = read(int(fd))
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr //nolint:wrapcheck // as net.TCPConn's: its *net.OpError names operation and address
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSocket reads from a socket without waiting.
func readSocket(fd int, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(fd, b); !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}
