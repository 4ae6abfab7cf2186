package http1

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// scarce is a listener that has one connection, and then no descriptor for another.
type scarce struct {
	first chan net.Conn
	tried chan struct{}
	ended chan struct{}
}

func (l *scarce) Accept() (net.Conn, error) {
	select {
	case c := <-l.first:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	default:
	}
	select {
	case l.tried <- struct{}{}:
	default:
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENFILE)}
}

func (l *scarce) Close() error   { return nil }
func (l *scarce) Addr() net.Addr { return &net.TCPAddr{} }

// A connection that was taken just now is not closed to make a descriptor free: its request may be on its way, and would be lost.
func TestNoFreshConnectionIsClosedForADescriptor(t *testing.T) {
	theirs, ours := pair(t)
	s := unserved()
	l := &scarce{make(chan net.Conn, 1), make(chan struct{}), make(chan struct{})}
	l.first <- ours
	go func() { _ = s.Serve(l) }()
	defer close(l.ended)
	for range 3 {
		<-l.tried
	}
	_ = theirs.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := theirs.Read(make([]byte, 1)); !os.IsTimeout(err) {
		t.Errorf("a new connection is closed on: %v", err)
	}
}
