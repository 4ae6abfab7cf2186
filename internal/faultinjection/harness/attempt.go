package harness

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// redeliveryExpiry is the expiry time of a redelivery. It lies beyond the end of any run, since destinations accept
// redeliveries at any time.
const redeliveryExpiry = 1000 * time.Hour

// maxBodySize is the protocol's bound on a body, in bytes.
const maxBodySize = 64 << 10

// bodyFormat is the beginning of every message's body. It identifies the message by its number and its destination.
const bodyFormat = "message %d for partner %d."

// attempt is a relay's attempt whose request has been read completely. Its fields are guarded by the destination's lock.
type attempt struct {
	number     int // counted over all destinations of the run
	conn       *endpointConn
	submission *submission // nil: the request has an unknown id
	model      *destination.Attempt
	startedAt  time.Duration
	ended      bool
}

// attemptRequest is the request of an attempt.
type attemptRequest struct {
	*http.Request
	body      []byte
	id        string
	probe     bool
	firstByte time.Duration // when its first byte was read
}

// messageBody returns the body of a message, which is the same in every attempt and differs from the body of every other message.
func messageBody(s *submission) []byte {
	text := fmt.Sprintf(bodyFormat, s.message.Number, s.message.Destination) + " "
	return []byte(strings.Repeat(text, s.message.BodySize/len(text)+1)[:s.message.BodySize])
}

// errBodyTooLong is the error for a body longer than maxBodySize.
var errBodyTooLong = errors.New("body too long")

// readRequest reads the next request of a connection.
func readRequest(in *bufio.Reader, firstByte time.Duration) (*attemptRequest, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return nil, fmt.Errorf("read the request of an attempt: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodySize+1))
	if err != nil {
		return nil, fmt.Errorf("read the body of an attempt: %w", err)
	}
	if len(body) > maxBodySize {
		return nil, errBodyTooLong
	}
	return &attemptRequest{
		Request: req, body: body, id: req.Header.Get("Request-Id"), firstByte: firstByte,
		probe: req.Method == http.MethodGet && (req.URL.Path == "/ping" || req.URL.Path == "/_load"),
	}, nil
}

// readAttempt reads one attempt and passes it to the model. It reports whether the connection stays open.
func (c *endpointConn) readAttempt(in *bufio.Reader, firstByte time.Duration) bool {
	rejectedEarly := c.rejectEarly()
	req, err := readRequest(in, firstByte)
	if err != nil {
		return false
	}
	d := c.endpoint.destination
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.closed {
		return false
	}
	switch {
	case req.probe && !d.harness.scenario.Limits.Probing:
		return c.respond(response{status: http.StatusNotFound})
	case !req.probe && (req.Method != http.MethodPost || req.URL.Path != "/inbox"):
		d.harness.recordFailure("relay %d sent %s %s to an endpoint", c.relay+1, req.Method, req.URL.Path)
		return c.respond(response{status: http.StatusNotFound})
	}
	a, previous := c.beginAttempt(req)
	if rejectedEarly {
		a.end(checker.Event{Outcome: checker.Rejected})
		return !c.overLimit
	}
	if !req.probe {
		if status := c.checkForwardable(a, req); status != 0 {
			return c.respondNotSent(a, status)
		}
		if c.endEarly(a, previous) {
			return !c.closed
		}
		d.drawAttempt(a, previous)
	}
	d.pending[a.model] = a
	d.applyActions(d.model.Arrive(d.now(), c.endpoint.index, a.model))
	return !c.closed
}

// respondNotSent responds to an attempt that does not reach the destination.
func (c *endpointConn) respondNotSent(a *attempt, status int) (open bool) {
	ended, resp := checker.Event{Outcome: checker.NotSent}, response{status: status}
	if status == http.StatusGone || status == http.StatusGatewayTimeout {
		ended.Status, resp.endingAttempt = status, a.number
	}
	a.end(ended)
	return c.respond(resp)
}

// beginAttempt records an attempt and returns it, with the number of earlier attempts of its message.
func (c *endpointConn) beginAttempt(req *attemptRequest) (a *attempt, previous int) {
	d := c.endpoint.destination
	if d.harness.scenario.Relay.Redelivers && !req.probe {
		d.recordRedelivery(req, c.relay)
	}
	number, submission, previous := d.harness.ledger.attemptStarted(req.id)
	kind := checker.AttemptSent
	if req.probe {
		kind = checker.Probed
	}
	at := d.harness.record(checker.Event{
		Kind: kind, ID: req.id, Relay: c.relay, Destination: d.number, Endpoint: c.endpoint.id,
		Attempt: number, FirstByte: req.firstByte,
	})
	a = &attempt{number: number, conn: c, submission: submission, startedAt: at, model: &destination.Attempt{
		ID: req.id, Relay: c.relay, NewConnection: c.unused, OverConnectionLimit: c.overLimit, Probe: req.probe,
	}}
	c.clearDone()
	c.attempt, c.unused = a, false
	return a, previous
}

// recordRedelivery records the first attempt under an id that no client submitted. The body identifies the message that is
// redelivered.
func (d *destinationServer) recordRedelivery(req *attemptRequest, relay int) {
	h := d.harness
	var number, intended int
	if n, _ := fmt.Sscanf(string(req.body), bodyFormat, &number, &intended); n != 2 || number < 0 || number >= len(h.clients.messages) {
		return // not a redelivery: checkForwardable rejects the unknown id
	}
	m := h.clients.messages[number]
	if h.ledger.adoptRedelivery(&submission{message: m, id: req.id, relay: relay, expiresAt: redeliveryExpiry}) {
		h.record(checker.Event{
			Kind: checker.Redelivered, ID: req.id, Message: number, Relay: relay,
			Destination: m.Destination, Class: m.Class, Subject: m.Subject,
		})
	}
}

// checkForwardable makes the checks that the platform makes between relays and destinations. It returns the status with which
// the platform rejects the attempt, or 0 if the attempt reaches the destination.
func (c *endpointConn) checkForwardable(a *attempt, req *attemptRequest) int {
	d, s := c.endpoint.destination, a.submission
	switch {
	case s == nil:
		return http.StatusBadRequest
	case !bytes.Equal(req.body, messageBody(s)) || req.Header.Get("Idempotency-Key") != s.message.Key:
		d.harness.recordFailure("relay %d changed the body or key of %s", c.relay+1, s.id)
		return http.StatusBadRequest
	case s.message.Destination != d.number:
		return http.StatusBadRequest
	}
	now := d.harness.ledger.state(s)
	switch {
	case now.endedEarly != 0:
		return now.endedEarly
	case now.withdrawn && !now.accepted, a.startedAt > s.expiresAt:
		return http.StatusGone
	case now.attempts > d.harness.scenario.Limits.MaxAttempts:
		return http.StatusGatewayTimeout
	}
	return 0
}

// drawAttempt draws an attempt's service time and the random number that decides its outcome.
func (d *destinationServer) drawAttempt(a *attempt, previous int) {
	h, m := d.harness, a.submission.message
	a.model.ServiceTime = h.scenario.ServiceTime(h.random, m, previous)
	a.model.Key, a.model.KeyTTL = m.Key, scenario.Seconds(h.scenario.Classes[m.Class].KeyTTL)
	a.model.Draw = h.random.Stream("chance", m.Number, previous).Float64()
}

// end records the end of an attempt; the lock is held.
func (a *attempt) end(e checker.Event) {
	if a.ended {
		return
	}
	a.ended = true
	a.conn.attempt = nil
	a.conn.signalDone()
	d := a.conn.endpoint.destination
	delete(d.pending, a.model)
	e.Kind, e.ID, e.Attempt, e.Relay, e.Destination = checker.AttemptEnded, a.model.ID, a.number, a.conn.relay, d.number
	at := d.harness.record(e)
	if a.submission != nil && !a.model.Probe {
		rejected := e.Outcome == checker.Rejected || e.Outcome == checker.RetryAfter || e.Outcome == checker.NotSent
		d.harness.ledger.attemptEnded(a.submission, a.startedAt, at, rejected, e.Outcome == checker.OK)
	}
}
