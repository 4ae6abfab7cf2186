package socket

import (
	"net"
	"time"

	"frostlink/internal/syserr"
)

const (
	// maxIOAttempts bounds the attempts of a read or write during a shortage on this machine, with
	// ioRetryPause between them. Together they take 0.1 s, a quarter of the time that a client waits for
	// its response.
	maxIOAttempts = 50
	ioRetryPause  = 2 * time.Millisecond
)

// RetryConn is a connection that retries reads and writes that fail because of a shortage on this
// machine, such as ENOMEM or ENOBUFS (recv(2), send(2)), since the connection itself is intact. Its
// deadlines still apply.
type RetryConn struct{ net.Conn }

// Read reads bytes that have arrived, as io.Reader does.
func (c RetryConn) Read(b []byte) (n int, err error) {
	for range maxIOAttempts {
		n, err = c.Conn.Read(b)
		if n > 0 || !isLocal(syserr.Read, err) {
			break
		}
		time.Sleep(ioRetryPause)
	}
	return n, err //nolint:wrapcheck // io.Reader's contract: the end is io.EOF itself
}

// Write writes all of b. A retry continues after the bytes that were already written.
func (c RetryConn) Write(b []byte) (written int, err error) {
	for range maxIOAttempts {
		var n int
		n, err = c.Conn.Write(b[written:])
		written += n
		if !isLocal(syserr.Write, err) {
			break
		}
		time.Sleep(ioRetryPause)
	}
	return written, err //nolint:wrapcheck // net.Conn's contract: its errors are net.Errors
}
