package faults

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	// held is how long a test waits for what must not arrive.
	held = 50 * time.Millisecond
	// arrival bounds how long a test waits for what must arrive.
	arrival = 10 * time.Second
)

// echoThroughProxy returns a proxy before a server that sends back what it receives, and a connection through it.
func echoThroughProxy(t *testing.T) (*Proxy, net.Conn) {
	t.Helper()
	l := openLoopback(t)
	server, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		conn, err := server.Accept()
		if err != nil {
			return // the test is over
		}
		defer conn.Close()
		_, _ = io.Copy(conn, conn) // until the test ends
	}()
	p, err := NewProxy(l, server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return p, conn
}

// exchange sends a byte, and waits for it to come back.
func exchange(t *testing.T, conn net.Conn, within time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	return receive(t, conn, within)
}

func receive(t *testing.T, conn net.Conn, within time.Duration) error {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProxy_PartitionHoldsTrafficUntilHealed(t *testing.T) {
	for name, direction := range map[string]Direction{"to the target": ToTarget, "from the target": FromTarget} {
		t.Run(name, func(t *testing.T) {
			p, conn := echoThroughProxy(t)
			defer p.Close()
			if err := exchange(t, conn, arrival); err != nil {
				t.Fatal(err)
			}
			heal := p.Partition(direction)
			if err := exchange(t, conn, held); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%v through a partition", err)
			}
			if !p.IsHolding() {
				t.Error("nothing is held in a partition")
			}
			heal()
			if err := receive(t, conn, arrival); err != nil {
				t.Errorf("after the partition was healed: %v", err)
			}
		})
	}
}

func TestProxy_ResetEndsConnections(t *testing.T) {
	p, conn := echoThroughProxy(t)
	defer p.Close()
	if err := exchange(t, conn, arrival); err != nil {
		t.Fatal(err)
	}
	p.ResetConnections()
	if err := receive(t, conn, arrival); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v after a reset", err)
	}
}

func TestProxy_CloseDropsWhatAPartitionHolds(t *testing.T) {
	p, conn := echoThroughProxy(t)
	p.Partition(ToTarget) // never healed
	if err := exchange(t, conn, held); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v through a partition", err)
	}
	p.Close() // waits for its goroutines
	if err := receive(t, conn, arrival); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v after Close", err)
	}
}
