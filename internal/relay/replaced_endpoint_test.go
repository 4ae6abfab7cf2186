package relay

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/wait/waittest"
)

// fullListener is a listening socket whose queue is full, so that further connections are established only after its accept.
type fullListener struct {
	fd    int
	addr  string
	queue []net.Conn
}

func newFullListener(t *testing.T) *fullListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	l := &fullListener{fd: fd, addr: address.String()}
	for {
		c, err := net.DialTimeout("tcp", l.addr, 100*time.Millisecond)
		if err != nil {
			return l
		}
		t.Cleanup(func() { _ = c.Close() })
		l.queue = append(l.queue, c)
	}
}

// receive accepts connections until the time is over, and returns what arrives on those that are not the queue's.
func (l *fullListener) receive(d time.Duration) string {
	var text strings.Builder
	if syscall.SetNonblock(l.fd, true) != nil {
		return "not non-blocking"
	}
	var accepted []int
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err == nil {
			accepted = append(accepted, fd)
		}
		for _, fd := range accepted {
			b := make([]byte, 4096)
			if n, err := syscall.Read(fd, b); err == nil && n > 0 {
				text.Write(b[:n])
			}
		}
	}
	for _, fd := range accepted {
		_ = syscall.Close(fd)
	}
	return text.String()
}

// A request whose connection is being established when discovery lists its endpoint elsewhere, gone, or restarted, is not written to
// the process that comes up at the old address meanwhile. The fault: after a move the request was written there.
func TestAttempt_NotWrittenToTheProcessAtAnOldAddress(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(old, next discovery.Endpoint) []discovery.Endpoint
	}{
		{"the endpoint has moved", func(_, next discovery.Endpoint) []discovery.Endpoint {
			next.ID = "h1"
			return []discovery.Endpoint{next}
		}},
		{"another endpoint has its address", func(old, next discovery.Endpoint) []discovery.Endpoint {
			other := old
			other.ID, other.Destination = "h3", 8
			old.Health = discovery.Deleted
			return []discovery.Endpoint{old, other, next}
		}},
		{"the endpoint serves another destination", func(old, next discovery.Endpoint) []discovery.Endpoint {
			old.Destination = 8
			return []discovery.Endpoint{old, next}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform(t)
			p.changeSettings = func(s string) string { return strings.Replace(s, `"connect_timeout_s":1`, `"connect_timeout_s":5`, 1) }
			listener := newFullListener(t)
			old := discovery.Endpoint{ID: "h1", Address: listener.addr, Zone: "a", Kind: "m2", Destination: 7, Health: "SERVING", Weight: 100}
			p.endpoints = []discovery.Endpoint{old}
			p.addAdminEndpoint()
			p.start()
			p.submitOrder("m1")
			p.waitFor("the connection is being established", func() bool { return p.status("resources", "endpoint_connections", "attempts") == 1 })
			next := p.addEndpoint("h2", 7)
			marker := p.addEndpoint("marker", 9)
			line, err := json.Marshal(discovery.EndpointList{Seq: 42, Endpoints: append(tt.change(old, next), marker)})
			if err != nil {
				t.Fatal(err)
			}
			p.watchLines <- string(line)
			p.waitFor("the relay has the list", func() bool { return p.status("metrics", "hosts_listed") > 1 })
			if text := listener.receive(4 * time.Second); text != "" {
				t.Errorf("written to the process at the old address: %q", text)
			}
			if id := p.nextAttempt(); id != "m1" {
				t.Errorf("attempt of %q", id)
			}
		})
	}
}

// submitOrder submits a message that may be executed once, for destination 7.
func (p *platform) submitOrder(id string) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waittest.Long))
	p.write(c, rawOrderHead(id)+"12345")
	response := make([]byte, 4096)
	n, err := c.Read(response)
	if err != nil && !errors.Is(err, io.EOF) || !strings.HasPrefix(string(response[:n]), "HTTP/1.1 202 ") {
		p.t.Fatalf("%s: %q, %v", id, response[:n], err)
	}
}

// status returns a number of the admin endpoint's response to GET /status/NAME, or -1.
func (p *platform) status(name string, keys ...string) float64 {
	resp, err := http.Get("http://" + p.adminAddr + "/status/" + name)
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	var value any
	if json.NewDecoder(resp.Body).Decode(&value) != nil {
		return -1
	}
	for _, key := range keys {
		object, ok := value.(map[string]any)
		if !ok {
			return -1
		}
		value = object[key]
	}
	number, ok := value.(float64)
	if !ok {
		return -1
	}
	return number
}
