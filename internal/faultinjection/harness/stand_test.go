package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
)

// long is how long tests wait for what must come; how long that takes decides nothing.
const long = 10 * time.Second

// bare is a rig whose relays are no processes: the test plays them.
func bare(t *testing.T, s *scenario.Scenario) *harness {
	t.Helper()
	r := &harness{scenario: s, random: scenario.NewRandomStreams(1), workDir: t.TempDir(), recorder: &recorder{start: time.Now()}, launcher: faults.NewLauncher(), ctx: t.Context()}
	if err := r.open(); err != nil {
		t.Fatal(err)
	}
	r.clients = newClientPool(r, s.Messages(r.random))
	r.begin()
	t.Cleanup(func() { r.close(func() {}) })
	return r
}

func until(t *testing.T, what string, true func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !true(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// handed makes up a hand-in of a message.
func (r *harness) handed(no int) *submission {
	k := &submission{message: r.clients.messages[no], id: r.random.RequestID(no, 0), expiresAt: time.Hour}
	r.ledger.submitted(k)
	return k
}

// callOn writes a call for a message on a connection.
func callOn(t *testing.T, c net.Conn, k *submission) {
	t.Helper()
	body := messageBody(k)
	if _, err := fmt.Fprintf(c, "POST /inbox HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", k.id, len(body), body); err != nil {
		t.Fatal(err)
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Endpoints fail as the kinds of outage say, and come back.
func TestEndpointsFailOnSockets(t *testing.T) {
	r := bare(t, loadScript(t, 50, 5, 1, 1, 4, 4, 1))
	l := r.destinations[0]
	addr := l.endpoints[0].addrs[0]
	answer := func(c net.Conn) (int, error) {
		_ = c.SetReadDeadline(time.Now().Add(long))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, nil
	}
	outage := func(what string, during func()) {
		l.fail(-1, &scenario.Fault{Kind: what, Share: 1})
		during()
		l.recover(-1, false)
		c := dial(t, addr)
		callOn(t, c, r.handed(0))
		if status, err := answer(c); status != http.StatusOK {
			t.Errorf("after %s: %d, %v", what, status, err)
		}
	}
	outage("refuse", func() {
		if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("refuse: %v", err)
		}
	})
	outage("shut", func() {
		c := dial(t, addr)
		callOn(t, c, r.handed(1))
		if status, _ := answer(c); status != http.StatusServiceUnavailable {
			t.Errorf("shut: %d", status)
		}
	})
	outage("failing", func() {
		c := dial(t, addr)
		callOn(t, c, r.handed(2))
		if status, _ := answer(c); status != http.StatusInternalServerError {
			t.Errorf("failing: %d", status)
		}
	})
	outage("gone", func() {
		if c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			_ = c.Close()
			t.Error("gone: a connection came up")
		} else if !isTimeout(err) {
			t.Errorf("gone: %v", err)
		}
	})
	var silent net.Conn
	outage("silent", func() {
		silent = dial(t, addr)
		callOn(t, silent, r.handed(3))
		until(t, "the call was read", func() bool { return r.count(checker.AttemptSent) == 6 })
		_ = silent.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := silent.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("silent: %v", err)
		}
	})
	_ = silent.SetReadDeadline(time.Now().Add(long))
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a silent connection after the outage: %v", err)
	}
	begin, over := l.degrade(-1, &scenario.Fault{Kind: "reset", Share: 1})
	begin()
	c := dial(t, addr)
	callOn(t, c, r.handed(4))
	if _, err := answer(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset: %v", err)
	}
	over()
	if n := r.count(checker.Executed); n < 6 {
		t.Errorf("%d effects", n)
	}
}

func isTimeout(err error) bool {
	ne := net.Error(nil)
	return errors.As(err, &ne) && ne.Timeout()
}

// count is how many events of a kind the log has.
func (r *recorder) count(kind checker.Kind) (n int) {
	for _, e := range r.eventLog() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// A call that its relay gives up is noted as left, and runs on where the partner does so.
func TestCallsThatAreGivenUpRunOn(t *testing.T) {
	r := bare(t, loadScript(t, 50, 5, 1, 1, 4, 4, 200))
	c := dial(t, r.destinations[0].endpoints[0].addrs[0])
	callOn(t, c, r.handed(0))
	until(t, "the call was read", func() bool { return r.count(checker.AttemptSent) == 1 })
	_ = c.Close()
	until(t, "its end was noted", func() bool { return r.count(checker.AttemptEnded) == 1 })
	until(t, "it ran on", func() bool { return r.count(checker.Executed) == 1 })
}

// An endpoint takes so many connections, idle ones counted; on one more it turns the call away and closes.
func TestConnectionCap(t *testing.T) {
	s := loadScript(t, 50, 5, 1, 1, 4, 4, 1)
	s.Destinations[0].MaxConnections = 2
	r := bare(t, s)
	addr := r.destinations[0].endpoints[0].addrs[0]
	var all []net.Conn
	for range 3 {
		all = append(all, dial(t, addr))
		until(t, "the connection was counted", func() bool { return r.count(checker.Connected) == len(all) })
	}
	callOn(t, all[2], r.handed(0))
	raw, err := io.ReadAll(all[2])
	if err != nil || !bytes.HasPrefix(raw, []byte("HTTP/1.1 503 ")) {
		t.Errorf("one too many: %q, %v", raw, err)
	}
	callOn(t, all[0], r.handed(1))
	if resp, err := http.ReadResponse(bufio.NewReader(all[0]), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("one within the cap: %v, %v", resp, err)
	}
}

// What nobody handed in, what was changed, and what is over is not passed to the partner.
func TestCallsThatThePlatformStops(t *testing.T) {
	r := bare(t, loadScript(t, 50, 5, 1, 2, 4, 4, 1))
	addr := r.destinations[0].endpoints[0].addrs[0]
	mine, others := -1, -1
	for i, m := range r.clients.messages {
		if m.Destination == 0 && mine < 0 {
			mine = i
		} else if m.Destination == 1 {
			others = i
		}
	}
	for name, c := range map[string]struct {
		change func(k *submission)
		want   string
	}{
		"unknown":         {func(k *submission) { k.id = "nobody" }, "400"},
		"another's":       {func(k *submission) { *k = *r.handed(others) }, "400"},
		"out of time":     {func(k *submission) { k.expiresAt = -1 }, "410"},
		"withdrawn":       {func(k *submission) { k.withdrawn = true }, "410"},
		"tried too often": {func(k *submission) { k.attempts = 99 }, "504"},
		"fine":            {func(k *submission) {}, "200"},
	} {
		k := r.handed(mine)
		c.change(k)
		conn := dial(t, addr)
		callOn(t, conn, k)
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.1 "+c.want) {
			t.Errorf("%s: %q, %v, want %s", name, line, err, c.want)
		}
	}
}

// A datagram reaches the relay that it was sent to, from the sender's address as that relay knows it, unless the
// network is split or loses it; one that is too long is a fault.
func TestNetworkBetweenRelays(t *testing.T) {
	r := bare(t, loadScript(t, 50, 5, 3, 1, 4, 4, 1))
	var ends []*net.UDPConn
	for _, rel := range r.relays {
		at, err := net.ResolveUDPAddr("udp", rel.peer)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.ListenUDP("udp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ends = append(ends, c)
	}
	send := func(from int, to string, data string) {
		t.Helper()
		at, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ends[from].WriteToUDP([]byte(data), at); err != nil {
			t.Fatal(err)
		}
	}
	receive := func(at int, want string, from string) {
		t.Helper()
		buf := make([]byte, 300)
		_ = ends[at].SetReadDeadline(time.Now().Add(long))
		n, sender, err := ends[at].ReadFromUDP(buf)
		if err != nil || string(buf[:n]) != want || sender.String() != from {
			t.Errorf("relay %d got %q from %v, %v; want %q from %s", at+1, buf[:n], sender, err, want, from)
		}
	}
	send(0, r.relays[0].peers[2], "one")
	receive(2, "one", r.relays[2].peers[0])
	send(1, r.relays[1].peersAll, "all")
	receive(0, "all", r.relays[0].peers[1])
	receive(2, "all", r.relays[2].peers[1])
	r.network.set(func() { r.network.truncateShare = 1 })
	send(0, r.relays[0].peers[1], "halves")
	receive(1, "hal", r.relays[1].peers[0])
	r.network.set(func() { r.network.truncateShare, r.network.split = 0, []int{0} })
	send(0, r.relays[0].peers[1], "cut off")
	send(2, r.relays[2].peers[1], "same side")
	receive(1, "same side", r.relays[1].peers[2])
	send(0, r.relays[0].peers[1], strings.Repeat("x", 257))
	until(t, "the long one is a fault", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.failures) == 1
	})
	if n := r.network.sum(); n.Lost != 1 || n.Halved != 1 || n.Sent != 6 {
		t.Errorf("counted %+v", n)
	}
}

// A watch tells what changes, a register that is away ends it and refuses, and notices are taken all the same.
func TestRegister(t *testing.T) {
	r := bare(t, loadScript(t, 50, 5, 1, 2, 4, 4, 1))
	url := "http://" + r.relays[0].discovery
	get := func(path string) (*http.Response, *bufio.Reader) {
		t.Helper()
		resp, err := http.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = resp.Body.Close() })
		return resp, bufio.NewReader(resp.Body)
	}
	list := func(in *bufio.Reader) (m endpointList) {
		t.Helper()
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if strings.TrimSpace(line) == "" {
				continue
			}
			if err := json.Unmarshal([]byte(line), &m); err != nil {
				t.Fatal(err)
			}
			return m
		}
	}
	if _, in := get("/catalog/members"); len(list(in).Hosts) != 2 {
		t.Error("the whole list lacks hosts")
	}
	_, watch := get("/catalog/members?stream=1&index=2")
	if m := list(watch); m.Whole || len(m.Hosts) != 0 {
		t.Errorf("a watch from the present version on begins with %+v", m)
	}
	h := r.destinations[1].endpoints[0]
	r.discovery.publish(h, checker.Draining)
	if m := list(watch); m.Whole || len(m.Hosts) != 1 || m.Hosts[0].Host != h.id || m.Hosts[0].Health != checker.Draining || m.Seq != 3 {
		t.Errorf("a drain is told as %+v", m)
	}
	r.discovery.publish(h, checker.Deleted)
	if m := list(watch); m.Hosts[0].Health != checker.Deleted {
		t.Errorf("a deletion is told as %+v", m)
	}
	if _, in := get("/catalog/members?stream=1&index=0"); len(list(in).Hosts) != 1 {
		t.Error("what is deleted is in the whole list")
	}
	r.discovery.fail("503")
	if _, err := io.ReadAll(watch); err == nil {
		t.Error("the watch did not end by a broken connection")
	}
	if resp, _ := get("/catalog/members?stream=1&index=4"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("while it is away: %s", resp.Status)
	}
	k := r.handed(0)
	resp, err := http.Post(url+"/v1/outcomes", "", strings.NewReader(`{"id":"`+k.id+`","status":"undeliverable"}`+"\n"))
	if err != nil || resp.StatusCode != http.StatusNoContent || r.count(checker.Notified) != 1 {
		t.Errorf("a notice while it is away: %v, %v", resp, err)
	}
	if resp, err := http.Post(url+"/v1/outcomes", "", strings.NewReader("{}\n")); err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a notice that can't be read: %v, %v", resp, err)
	}
	told := 0
	for _, e := range r.eventLog() {
		if e.Kind == checker.EndpointNotified && e.Endpoint == h.id && e.State != checker.Serving {
			told++
		}
	}
	if told < 2 {
		t.Errorf("%d tellings were noted", told)
	}
}

// The model's own changes, a fall and the return from it, are carried over to the sockets.
func TestFallOnSockets(t *testing.T) {
	s := loadScript(t, 200, 5, 1, 1, 1, 0, 100)
	s.Destinations[0].OverloadDowntime = 0.5
	r := bare(t, s)
	l := r.destinations[0]
	l.fail(-1, &scenario.Fault{Kind: "shut"})
	l.recover(-1, true)
	addr := l.endpoints[0].addrs[0]
	for n := 0; r.count(checker.OutageBegan) < 2; n++ {
		if n > 100 {
			t.Fatal("a hundred calls at once did not push it over")
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		callOn(t, c, r.handed(n))
		defer c.Close()
		time.Sleep(time.Millisecond)
	}
	until(t, "connections are refused", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.endpoints[0].mode == destination.ModeRefusing
	})
	until(t, "it is back", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}
