package harness

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

var (
	// errNotSubmitted means that a relay could not be reached.
	errNotSubmitted = errors.New("not handed in")
	// errNoResponse means that a connection ended before the first byte of a response.
	errNoResponse = errors.New("closed without an answer")
)

// maxRetryAfterSeconds bounds the Retry-After that a client reads.
const maxRetryAfterSeconds = 3600

// clientResponse is a relay's response to a submission.
type clientResponse struct {
	status     int
	retryAfter time.Duration // 0: none
	close      bool          // the relay closes the connection
}

// exchange submits a message and waits for the response. The error is errNotSubmitted where no relay can have read it.
func (c *clientPool) exchange(s *submission, timeLeft time.Duration, mark retryMark) (clientResponse, error) {
	addr := c.h.relays[s.relay].listen
	conn := c.takeIdle(addr)
	for {
		if conn == nil {
			var err error
			if conn, err = c.dial(addr); err != nil {
				return clientResponse{}, fmt.Errorf("%w: %w", errNotSubmitted, err)
			}
		}
		c.recordSubmission(s, timeLeft)
		_ = conn.SetDeadline(time.Now().Add(c.responseTimeout())) // fails on a closed connection only, as does what follows
		response, err := conn.roundTrip(c.request(s, timeLeft, mark))
		if err == nil {
			if response.close {
				_ = conn.Close()
			} else {
				c.putIdle(addr, conn)
			}
			return response, nil
		}
		_ = conn.Close()
		if !conn.reused || !errors.Is(err, errNoResponse) {
			return clientResponse{}, err
		}
		conn = nil // the relay closed an idle connection: once more on a new one
	}
}

func (c *clientPool) responseTimeout() time.Duration {
	return scenario.Milliseconds(c.h.scenario.Clients.ResponseTimeoutMS)
}

// recordSubmission records, once, that a message is being submitted.
func (c *clientPool) recordSubmission(s *submission, timeLeft time.Duration) {
	if s.submittedAt != 0 {
		return
	}
	c.h.ledger.submitted(s)
	s.submittedAt = c.h.record(checker.Event{
		Kind: checker.Submitted, ID: s.id, Message: s.message.Number, Relay: s.relay, Destination: s.message.Destination,
		Class: s.message.Class, OrderKey: s.message.OrderKey, Subject: s.message.Subject, Duration: timeLeft,
	})
}

// request returns the HTTP request that submits a message.
func (c *clientPool) request(s *submission, timeLeft time.Duration, mark retryMark) []byte {
	m, body := s.message, messageBody(s)
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST /%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %.3f\r\nX-Envelope: dest=%d",
		c.h.scenario.Classes[m.Class].Name, s.id, timeLeft.Seconds(), m.Destination)
	if m.OrderKey != "" {
		fmt.Fprintf(&out, "\r\nCookie: subject=%s", m.OrderKey)
	}
	if m.Tenant >= 0 {
		fmt.Fprintf(&out, "\r\nTenant: %s", c.h.scenario.Tenants[m.Tenant].Name)
	}
	if m.Subject != "" {
		fmt.Fprintf(&out, "\r\nSubject: %s\r\nSequence: %d", m.Subject, m.Number)
	}
	if m.Key != "" {
		fmt.Fprintf(&out, "\r\nIdempotency-Key: %s", m.Key)
	}
	if mark != unmarked {
		fmt.Fprintf(&out, "\r\nClient-Retry: %s", mark)
	}
	fmt.Fprintf(&out, "\r\nContent-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	return out.Bytes()
}

// roundTrip writes a request and reads the response.
func (c *clientConn) roundTrip(request []byte) (clientResponse, error) {
	if _, err := c.Write(request); err != nil {
		return clientResponse{}, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
			return clientResponse{}, fmt.Errorf("wait for a response: %w", err)
		}
		return clientResponse{}, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return clientResponse{}, fmt.Errorf("read a response: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // reads what is left, which is nothing
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize)); err != nil {
		return clientResponse{}, fmt.Errorf("read a response: %w", err)
	}
	response := clientResponse{status: resp.StatusCode, close: resp.Close}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		response.retryAfter = scenario.Seconds(min(s, maxRetryAfterSeconds))
	}
	return response, nil
}
