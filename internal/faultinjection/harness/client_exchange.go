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
	// errNotSubmitted means that the relay could not be reached and has not read the message.
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

// closedError is the end of a connection before the first byte of a response.
type closedError struct {
	err   error
	after time.Duration // time since the request was written; 0: the request was not written
}

func (e *closedError) Error() string { return fmt.Sprintf("%v: %v", errNoResponse, e.err) }

func (e *closedError) Unwrap() []error { return []error{errNoResponse, e.err} }

// exchange submits a message and waits for the response. The error is errNotSubmitted if the relay cannot have read the message.
func (c *clientPool) exchange(s *submission, timeLeft time.Duration, mark retryMark) (clientResponse, error) {
	addr := c.h.relays[s.relay].listen
	conn, err := c.connFor(s, addr)
	if err != nil {
		return clientResponse{}, err
	}
	c.recordSubmission(s, timeLeft)
	response, err := c.exchangeOn(conn, s, timeLeft, mark)
	if err == nil || !conn.reused || s.openConnOnly || !errors.Is(err, errNoResponse) {
		return response, err
	}
	// The relay closed a connection that had been idle: try once more on a new one.
	if conn, err = c.dial(addr); err != nil {
		return clientResponse{}, fmt.Errorf("%w: %w", errNotSubmitted, err)
	}
	return c.exchangeOn(conn, s, timeLeft, mark)
}

// connFor returns the connection for a submission: an idle connection or, unless the relay gets no new connections, a new one.
func (c *clientPool) connFor(s *submission, addr string) (*clientConn, error) {
	if s.openConnOnly {
		conn := c.takeOpen(addr)
		if conn == nil {
			return nil, errNotSubmitted
		}
		c.h.count(RequestAfterTermination)
		return conn, nil
	}
	if conn := c.takeIdle(addr); conn != nil {
		return conn, nil
	}
	conn, err := c.dial(addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSubmitted, err)
	}
	return conn, nil
}

// exchangeOn submits a message on a connection and waits for the response. Afterwards the connection is idle or closed.
func (c *clientPool) exchangeOn(conn *clientConn, s *submission, timeLeft time.Duration, mark retryMark) (clientResponse, error) {
	_ = conn.SetDeadline(time.Now().Add(c.responseTimeout())) // fails only on a closed connection, on which the round trip fails too
	response, err := conn.roundTrip(c.request(s, timeLeft, mark))
	if err != nil {
		_ = conn.Close()
		c.recordClosed(s, err)
		return clientResponse{}, err
	}
	if response.close {
		_ = conn.Close()
	} else {
		c.putIdle(c.h.relays[s.relay].listen, conn)
	}
	return response, nil
}

// recordClosed records that the relay closed the connection after a request was written, if the close was orderly (EOF, not a
// reset): the relay had then read all received data.
func (c *clientPool) recordClosed(s *submission, err error) {
	if closed := (*closedError)(nil); errors.As(err, &closed) && closed.after > 0 && errors.Is(err, io.EOF) {
		c.h.record(checker.Event{Kind: checker.ClosedOnRequest, ID: s.id, Relay: s.relay, Duration: closed.after})
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
		return clientResponse{}, &closedError{err: err}
	}
	written := time.Now()
	if _, err := c.reader.Peek(1); err != nil {
		if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
			return clientResponse{}, fmt.Errorf("wait for a response: %w", err)
		}
		return clientResponse{}, &closedError{err: err, after: time.Since(written)}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return clientResponse{}, fmt.Errorf("read a response: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read by then
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize)); err != nil {
		return clientResponse{}, fmt.Errorf("read a response: %w", err)
	}
	response := clientResponse{status: resp.StatusCode, close: resp.Close}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		response.retryAfter = scenario.Seconds(min(s, maxRetryAfterSeconds))
	}
	return response, nil
}
