package faults

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"
)

const (
	// noArrivalWait is how long a test waits to check that a byte does not arrive.
	noArrivalWait = 50 * time.Millisecond
	// arrivalTimeout bounds how long a test waits for a byte that has to arrive.
	arrivalTimeout = 10 * time.Second
)

// echoThroughProxy returns a proxy in front of an echo server, and a connection to the server through the proxy.
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

// exchange sends a byte, and waits until the server has echoed it.
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
			if err := exchange(t, conn, arrivalTimeout); err != nil {
				t.Fatal(err)
			}
			heal := p.Partition(direction)
			if err := exchange(t, conn, noArrivalWait); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("echo through a partition: got %v, want a timeout", err)
			}
			if !p.IsHolding() {
				t.Error("the proxy reports that it holds nothing during a partition")
			}
			heal()
			if err := receive(t, conn, arrivalTimeout); err != nil {
				t.Errorf("echo after the partition was healed: %v", err)
			}
		})
	}
}

func TestProxy_ResetEndsConnections(t *testing.T) {
	p, conn := echoThroughProxy(t)
	defer p.Close()
	if err := exchange(t, conn, arrivalTimeout); err != nil {
		t.Fatal(err)
	}
	p.ResetConnections()
	if err := receive(t, conn, arrivalTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after a reset: got %v, want a connection error", err)
	}
}

func TestProxy_CloseDropsWhatAPartitionHolds(t *testing.T) {
	p, conn := echoThroughProxy(t)
	p.Partition(ToTarget) // never healed
	if err := exchange(t, conn, noArrivalWait); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("echo through a partition: got %v, want a timeout", err)
	}
	p.Close() // returns once the proxy's goroutines have ended
	if err := receive(t, conn, arrivalTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after Close: got %v, want a connection error", err)
	}
}

// A client that takes whatever comes next on a connection for the response to its request gets the response to an earlier one, while
// the proxy copies responses. One that uses each connection once does not.
func TestProxy_CopiesResponses(t *testing.T) {
	for name, oneRequest := range map[string]bool{"connections used again": false, "a connection for each request": true} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(w, r.URL.Path)
			}))
			defer server.Close()
			p, err := NewProxy(openLoopback(t), server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: oneRequest}, Timeout: arrivalTimeout}
			defer client.CloseIdleConnections()
			stop := p.CopyResponses(1)
			foreign := 0
			for i := range 300 {
				if path := fmt.Sprint("/", i); get(t, &client, "http://"+p.Addr()+path) != path {
					foreign++
				}
			}
			if written := stop(); oneRequest != (foreign == 0) || !oneRequest && written == 0 {
				t.Errorf("%d of 300 requests got the response to another one; %d copies written", foreign, written)
			}
		})
	}
}

// get returns the body of a response, or nothing if there is none.
func get(t *testing.T, client *http.Client, url string) string {
	t.Helper()
	resp, err := client.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}
