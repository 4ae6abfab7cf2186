// Package sockettest provides servers for tests that read requests and write responses byte by byte.
package sockettest

import (
	"net"
	"testing"
)

// Loopback is an address on which Serve listens on a free TCP port.
const Loopback = "127.0.0.1:0"

// Serve listens on an address until the test ends, and serves each connection in a goroutine of its own, after which the connection is
// closed. It returns the listener's address.
func Serve(t *testing.T, network, address string, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test is over
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
