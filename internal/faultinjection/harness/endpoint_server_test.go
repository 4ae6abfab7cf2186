package harness

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// Endpoints fail as each kind of outage requires, and serve again after the outage.
func TestEndpointServer_FailsAndRecoversByKindOfOutage(t *testing.T) {
	h := newHarnessWithoutRelays(t, loadScenario(t, 50, 5, 1, 1, 4, 4, 1))
	d := h.destinations[0]
	addr := d.endpoints[0].addrs[0]
	for _, test := range []struct {
		kind  scenario.FaultKind
		check func(t *testing.T, h *harness, addr string) (checkAfter func())
	}{
		{scenario.FaultConnectionsRefused, checkRefusing},
		{scenario.FaultOverloaded, checkOverloaded},
		{scenario.FaultFailing, checkErrors},
		{scenario.FaultUnreachable, checkUnreachable},
		{scenario.FaultUnresponsive, checkUnresponsive},
	} {
		t.Run(test.kind, func(t *testing.T) {
			d.beginOutage(destination.AllEndpoints, &scenario.Fault{Kind: test.kind, Share: 1})
			checkAfter := test.check(t, h, addr)
			d.endOutage(destination.AllEndpoints, false)
			conn := dialEndpoint(t, addr)
			writeAttempt(t, conn, h.addSubmission(0))
			if status, err := readStatus(conn); status != http.StatusOK {
				t.Errorf("after the outage: %d, %v", status, err)
			}
			checkAfter()
		})
	}
	resets := &scenario.Fault{Kind: scenario.FaultResets, Share: 1}
	d.beginDegradation(destination.AllEndpoints, resets)
	conn := dialEndpoint(t, addr)
	writeAttempt(t, conn, h.addSubmission(4))
	if _, err := readStatus(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("attempt on an endpoint that resets connections: %v", err)
	}
	d.endDegradation(destination.AllEndpoints, resets)
	if n := countEvents(h, checker.Executed); n < 6 {
		t.Errorf("%d executions, want one after each of five outages and one of the reset attempt", n)
	}
}

// checkRefusing checks that an endpoint refuses connections.
func checkRefusing(t *testing.T, _ *harness, addr string) (checkAfter func()) {
	t.Helper()
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("during the outage: %v", err)
	}
	return func() {}
}

// checkOverloaded checks that an endpoint rejects attempts.
func checkOverloaded(t *testing.T, h *harness, addr string) (checkAfter func()) {
	t.Helper()
	checkStatus(t, h, addr, http.StatusServiceUnavailable)
	return func() {}
}

// checkErrors checks that an endpoint responds with errors.
func checkErrors(t *testing.T, h *harness, addr string) (checkAfter func()) {
	t.Helper()
	checkStatus(t, h, addr, http.StatusInternalServerError)
	return func() {}
}

// checkStatus checks that an endpoint responds with a status.
func checkStatus(t *testing.T, h *harness, addr string, want int) {
	t.Helper()
	conn := dialEndpoint(t, addr)
	writeAttempt(t, conn, h.addSubmission(1))
	if status, err := readStatus(conn); status != want {
		t.Errorf("during the outage: %d, %v, want %d", status, err, want)
	}
}

// checkUnreachable checks that connection attempts to an endpoint time out.
func checkUnreachable(t *testing.T, _ *harness, addr string) (checkAfter func()) {
	t.Helper()
	if conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
		_ = conn.Close()
		t.Error("during the outage: a connection was established")
	} else if !isTimeout(err) {
		t.Errorf("during the outage: %v", err)
	}
	return func() {}
}

// checkUnresponsive checks that an endpoint reads attempts and does not respond, and resets their connections after the outage.
func checkUnresponsive(t *testing.T, h *harness, addr string) (checkAfter func()) {
	t.Helper()
	conn, attempts := dialEndpoint(t, addr), countEvents(h, checker.AttemptSent)
	writeAttempt(t, conn, h.addSubmission(3))
	waitUntil(t, "the attempt was read", func() bool { return countEvents(h, checker.AttemptSent) == attempts+1 })
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("during the outage: %v", err)
	}
	return func() {
		_ = conn.SetReadDeadline(time.Now().Add(eventTimeout))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read after the outage on a connection from before it: %v, want a reset", err)
		}
	}
}

// An attempt that its relay abandons is recorded as ended, but a destination that ignores cancellation still executes it.
func TestEndpointConn_AbandonedAttemptsRunOn(t *testing.T) {
	h := newHarnessWithoutRelays(t, loadScenario(t, 50, 5, 1, 1, 4, 4, 200))
	conn := dialEndpoint(t, h.destinations[0].endpoints[0].addrs[0])
	writeAttempt(t, conn, h.addSubmission(0))
	waitUntil(t, "the attempt was read", func() bool { return countEvents(h, checker.AttemptSent) == 1 })
	_ = conn.Close()
	waitUntil(t, "the attempt's end was recorded", func() bool { return countEvents(h, checker.AttemptEnded) == 1 })
	waitUntil(t, "the attempt was executed", func() bool { return countEvents(h, checker.Executed) == 1 })
}

// An endpoint accepts a limited number of connections, including idle ones. On a connection above the limit it rejects the
// attempt and closes the connection.
func TestEndpointServer_LimitsConnections(t *testing.T) {
	s := loadScenario(t, 50, 5, 1, 1, 4, 4, 1)
	s.Destinations[0].MaxConnections = 2
	h := newHarnessWithoutRelays(t, s)
	addr := h.destinations[0].endpoints[0].addrs[0]
	var conns []net.Conn
	for range 3 {
		conns = append(conns, dialEndpoint(t, addr))
		waitUntil(t, "the connection was counted", func() bool { return countEvents(h, checker.Connected) == len(conns) })
	}
	writeAttempt(t, conns[2], h.addSubmission(0))
	raw, err := io.ReadAll(conns[2])
	if err != nil || !bytes.HasPrefix(raw, []byte("HTTP/1.1 503 ")) {
		t.Errorf("attempt on a connection above the limit: %q, %v", raw, err)
	}
	writeAttempt(t, conns[0], h.addSubmission(1))
	if resp, err := http.ReadResponse(bufio.NewReader(conns[0]), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("attempt on a connection within the limit: %v, %v", resp, err)
	}
}

// Like the platform, an endpoint rejects attempts under an id that no client submitted, at the wrong destination, after the
// deadline, for a submission whose client got no response, and above the maximum number of attempts.
func TestEndpointConn_StopsAttemptsAsThePlatformDoes(t *testing.T) {
	h := newHarnessWithoutRelays(t, loadScenario(t, 50, 5, 1, 2, 4, 4, 1))
	addr := h.destinations[0].endpoints[0].addrs[0]
	own, foreign := -1, -1 // messages for this destination and for the other
	for i, m := range h.clients.messages {
		if m.Destination == 0 && own < 0 {
			own = i
		} else if m.Destination == 1 {
			foreign = i
		}
	}
	for name, test := range map[string]struct {
		change func(s *submission)
		want   string
	}{
		"unknown id":              {func(s *submission) { s.id = "nobody" }, "400"},
		"for another destination": {func(s *submission) { *s = *h.addSubmission(foreign) }, "400"},
		"expired":                 {func(s *submission) { s.expiresAt = -1 }, "410"},
		"withdrawn":               {func(s *submission) { s.withdrawn = true }, "410"},
		"too many attempts":       {func(s *submission) { s.attempts = 99 }, "504"},
		"unchanged":               {func(*submission) {}, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			s := h.addSubmission(own)
			test.change(s)
			conn := dialEndpoint(t, addr)
			writeAttempt(t, conn, s)
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || !strings.HasPrefix(line, "HTTP/1.1 "+test.want) {
				t.Errorf("%q, %v, want %s", line, err, test.want)
			}
		})
	}
}

// Mode changes that the model makes by itself, an overload and the recovery from it, are applied to the sockets.
func TestDestinationServer_CarriesOverloadOverToSockets(t *testing.T) {
	s := loadScenario(t, 200, 5, 1, 1, 1, 0, 100)
	s.Destinations[0].OverloadDowntime = 0.5
	h := newHarnessWithoutRelays(t, s)
	d := h.destinations[0]
	d.beginOutage(destination.AllEndpoints, &scenario.Fault{Kind: scenario.FaultOverloaded})
	d.endOutage(destination.AllEndpoints, true)
	addr := d.endpoints[0].addrs[0]
	for n := 0; countEvents(h, checker.OutageBegan) < 2; n++ {
		if n > 100 {
			t.Fatal("a hundred attempts at once did not overload the destination")
		}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		writeAttempt(t, conn, h.addSubmission(n))
		defer conn.Close()
		time.Sleep(time.Millisecond)
	}
	waitUntil(t, "connections are refused", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.endpoints[0].mode == destination.ModeRefusing
	})
	waitUntil(t, "the destination has recovered", func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}
