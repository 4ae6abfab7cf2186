package harness

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
)

// eventTimeout bounds the wait for an event that must happen. It is long, since no test depends on how fast the event happens.
const eventTimeout = 10 * time.Second

// newHarnessWithoutRelays returns a harness whose stand-ins run, without relay processes: the test acts as the relays.
func newHarnessWithoutRelays(t *testing.T, s *scenario.Scenario) *harness {
	t.Helper()
	h := &harness{
		scenario: s, random: scenario.NewRandomStreams(1), workDir: t.TempDir(),
		extra: newExtraResponses(scenario.NewRandomStreams(1)), earlyEnds: newEarlyEnds(scenario.NewRandomStreams(1)),
		recorder: &recorder{start: time.Now()}, launcher: faults.NewLauncher(), ctx: t.Context(),
	}
	if err := h.open(); err != nil {
		t.Fatal(err)
	}
	h.clients = newClientPool(h, s.Messages(h.random))
	h.begin()
	t.Cleanup(func() { h.close(func() {}) })
	return h
}

// addSubmission adds a submission of a message to the ledger, without a client that makes it.
func (h *harness) addSubmission(number int) *submission {
	s := &submission{message: h.clients.messages[number], id: h.random.RequestID(number, 0), expiresAt: time.Hour}
	h.ledger.submitted(s)
	return s
}

// countEvents returns how many events of a kind the log has.
func countEvents(h *harness, kind checker.Kind) (n int) {
	for _, e := range h.eventLog() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// waitUntil waits for a condition, and fails the test if the condition does not hold within eventTimeout.
func waitUntil(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// dialEndpoint connects to an endpoint as a relay does.
func dialEndpoint(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// writeAttempt writes an attempt to deliver a message.
func writeAttempt(t *testing.T, conn net.Conn, s *submission) {
	t.Helper()
	body := messageBody(s)
	if _, err := fmt.Fprintf(conn, "POST /inbox HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads the status of a response.
func readStatus(conn net.Conn) (int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(eventTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

func isTimeout(err error) bool {
	netErr := net.Error(nil)
	return errors.As(err, &netErr) && netErr.Timeout()
}
