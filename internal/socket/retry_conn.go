package socket

import (
	"net"
	"time"

	"frostlink/internal/syserr"
)

const (
	// maxIOAttempts is how often a read or write is attempted for which this machine is short of
	// something, ioRetryPause apart: 0.1 s in all, a quarter of what a client waits for its response.
	maxIOAttempts = 50
	ioRetryPause  = 2 * time.Millisecond
)

// RetryConn is a connection whose reads and writes are repeated where one fails for a shortage on this
// machine, as with ENOMEM or ENOBUFS (recv(2), send(2)): the connection itself is intact. Its deadlines
// hold.
type RetryConn struct{ net.Conn }

// Read reads what has come.
func (p RetryConn) Read(b []byte) (n int, err error) {
	for range maxIOAttempts {
		n, err = p.Conn.Read(b)
		if n > 0 || !isLocal(syserr.Read, err) {
			break
		}
		time.Sleep(ioRetryPause)
	}
	return n, err //nolint:wrapcheck // io.Reader's contract: the end is io.EOF itself
}

// Write writes all of b.
func (p RetryConn) Write(b []byte) (written int, err error) {
	for range maxIOAttempts {
		var n int
		n, err = p.Conn.Write(b[written:])
		written += n
		if !isLocal(syserr.Write, err) {
			break
		}
		time.Sleep(ioRetryPause)
	}
	return written, err //nolint:wrapcheck // net.Conn's contract: its errors are net.Errors
}
