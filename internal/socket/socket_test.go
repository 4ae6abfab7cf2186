package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := (&Dialer{Timeout: waittest.Long}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// awaitPeek repeats Peek until it no longer reports that there is nothing to read.
func awaitPeek(t *testing.T, c *net.TCPConn) (n int, err error) {
	t.Helper()
	for start := time.Now(); time.Since(start) < waittest.Long; time.Sleep(time.Millisecond) {
		if n, err = Peek(c); !errors.Is(err, syscall.EAGAIN) {
			break
		}
	}
	return n, err
}

func TestPeek_ReportsUnreadBytes(t *testing.T) {
	local, peer := connect(t)
	if _, err := Peek(local); !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("nothing sent: Peek err %v, want EAGAIN", err)
	}
	if _, err := peer.Write([]byte("data")); err != nil {
		t.Fatal(err)
	}
	if n, err := awaitPeek(t, local); n != 1 || err != nil {
		t.Errorf("data sent: Peek returned %d, err %v; want 1", n, err)
	}
	b := make([]byte, 10)
	if n, err := local.Read(b); string(b[:n]) != "data" {
		t.Errorf("read %q, err %v: Peek must consume no bytes", b[:n], err)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := awaitPeek(t, local); n != 0 || err != nil {
		t.Errorf("closed by the peer: Peek returned %d, err %v; want 0", n, err)
	}
}

func TestDialer_DoesNotRepeatRefusedConnect(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := new(Dialer).DialContext(t.Context(), "tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("err %v, want ECONNREFUSED", err)
	}
}

func TestDialer_EndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := new(Dialer).DialContext(ctx, "tcp", "127.0.0.1:9"); err == nil {
		t.Error("no error with a canceled context")
	}
}

func TestListen_WaitsForAddress(t *testing.T) {
	earlier, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(10*minBackoff, func() { _ = earlier.Close() })
	l, err := Listen(earlier.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
}

func TestListen_ReportsFatalError(t *testing.T) {
	if _, err := Listen("no address"); err == nil {
		t.Error("no error for an invalid address")
	}
}
