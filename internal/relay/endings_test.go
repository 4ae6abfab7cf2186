package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/wait/waittest"
)

// open opens a client's connection.
func (p *platform) open() net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waittest.Long))
	return c
}

// used opens a client's connection on which one request was answered: what comes later on it may take 2.5 s.
func (p *platform) used() net.Conn {
	p.t.Helper()
	c, err := p.dialClient()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	return c
}

// head is the head of a message of five bytes.
func head(id string) string {
	return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nTenant: acme\r\nRequest-Timeout: 25\r\n"+
		"X-Envelope: dest=7\r\nContent-Length: 5\r\n\r\n", id)
}

func (p *platform) write(c net.Conn, text string) {
	p.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		p.t.Fatal(err)
	}
}

// last reads an answer that has to say that a message is taken on, and that its connection carries no other.
func (p *platform) last(what string, c net.Conn) {
	p.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.t.Errorf("%s: %v", what, err)
		return
	}
	if resp.StatusCode != http.StatusAccepted || !resp.Close {
		p.t.Errorf("%s: %s, close %v", what, resp.Status, resp.Close)
	}
}

// A planned end answers every request that is handed in until the connections close: one half read when the signal came, one on
// a connection that had never carried any, one on a connection that was idle. A second signal changes nothing, nor does a
// hang-up. What was taken on and not tried is tried by the next process, each once.
func TestRequestsAtAPlannedEnd(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return http.StatusServiceUnavailable } // nothing is over before the end
	c := p.start()
	half, idle := p.used(), p.used()
	fresh := p.open()
	p.write(half, head("half")+"bo")
	p.take("status", "before", "25")
	p.called()
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGTERM)
	p.until("the end has begun", func() bool { // answers are the last on their connections
		resp := p.handIn("status", "before", "25")
		return resp.StatusCode == http.StatusAccepted && resp.Close
	})
	p.write(half, "dy5")
	p.last("half read", half)
	signal(syscall.SIGTERM)
	p.write(fresh, head("fresh")+"body5")
	p.last("on a new connection", fresh)
	signal(syscall.SIGHUP)
	p.write(idle, head("idle")+"body5")
	p.last("on an idle connection", idle)
	if err := waittest.Receive(t, c.exited); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	p.set(func() { p.answer = func(*http.Request) int { return http.StatusOK } })
	p.start()
	p.until("nothing is left", func() bool { return len(readEntries(t, p.dir)) == 0 })
	delivered := map[string]bool{}
	for _, id := range p.sent() {
		delivered[id] = true
	}
	for _, id := range []string{"before", "half", "fresh", "idle"} {
		if !delivered[id] {
			t.Errorf("%s was not tried", id)
		}
	}
	if n := p.told(); len(n) != 0 {
		t.Errorf("given up: %v", n)
	}
}

// A signal during the start, at any moment of it, loses nothing of what an earlier process had taken on: no process of those that were
// told to end leaves without it, and the next one that lives delivers it. The moments are drawn; none changes the verdict.
func TestSignalDuringTheStart(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return 0 } // a host that hangs: nothing is over before the end
	j := earlier(t, p.dir)
	j.Accept(&journal.Entry{ID: "kept", Class: "status", Destination: 7, Deadline: j.Timeline().Now().Add(10 * time.Minute)})
	commit(t, j)
	for moment := time.Duration(0); moment < 64*time.Millisecond; moment = 2*moment + 4*time.Millisecond {
		c := p.begin()
		time.Sleep(moment)
		if err := c.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		err := waittest.Receive(t, c.exited)
		var how *exec.ExitError
		if errors.As(err, &how) && how.ExitCode() >= 0 { // else it had no time to catch the signal
			t.Errorf("signalled after %v: %v\n%s", moment, err, c.Stderr)
		}
		if left := readEntries(t, p.dir); len(left) != 1 || left[0].ID != "kept" {
			t.Fatalf("signalled after %v: the journal holds %d messages", moment, len(left))
		}
	}
	p.set(func() { p.answer = func(*http.Request) int { return http.StatusOK } })
	p.start()
	p.until("it is delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.told(); len(n) != 0 {
		t.Errorf("given up: %v", n)
	}
}
