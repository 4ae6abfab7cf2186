package harness

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

// maxSubmissions bounds the number of submissions of one message, whatever happens to the relays.
const maxSubmissions = 12

// retryMark is the value of the header Client-Retry. If it is empty, the header is not sent.
type retryMark string

const (
	unmarked         retryMark = ""
	markResubmission retryMark = "again" // after a relay could not be reached or gave no response
	markRetry        retryMark = "1"     // after a rejection, if the scenario's clients mark retries
)

// clientPool stands in for the clients. They submit messages, and resubmit them as the scenario specifies.
type clientPool struct {
	h        *harness
	messages []*scenario.Message // by number, including the messages of the backlog
	busy     atomic.Int64        // messages whose client is submitting or is about to submit

	mu        sync.Mutex               // guards the fields below
	idleConns map[string][]*clientConn // by relay's address
	reserved  map[string][]reservedConn
	closed    bool
}

func newClientPool(h *harness, messages []*scenario.Message) *clientPool {
	return &clientPool{h: h, messages: messages, idleConns: map[string][]*clientConn{}, reserved: map[string][]reservedConn{}}
}

// plannedSubmission is a submission that a client is about to make.
type plannedSubmission struct {
	message    *scenario.Message
	number     int // among the message's submissions, from 0
	rejections int // of earlier submissions of the message
	mark       retryMark
}

// resubmission plans the next submission of a message after a submission that got no response from a relay.
func (s *submission) resubmission() plannedSubmission {
	return plannedSubmission{message: s.message, number: s.number + 1, rejections: s.rejections, mark: markResubmission}
}

// idle reports whether no client is submitting or is about to submit.
func (c *clientPool) idle() bool { return c.busy.Load() == 0 }

// submitFirst submits a message for the first time.
func (c *clientPool) submitFirst(m *scenario.Message) {
	c.busy.Add(1)
	defer c.busy.Add(-1)
	c.submit(plannedSubmission{message: m})
}

// submitLater submits a message after a delay.
func (c *clientPool) submitLater(planned plannedSubmission, delay time.Duration) {
	c.busy.Add(1)
	c.h.background.Go(func() {
		defer c.busy.Add(-1)
		if wait.For(c.h.ctx, delay) {
			c.submit(planned)
		}
	})
}

// timeLeft returns the time until a message's deadline.
func (c *clientPool) timeLeft(m *scenario.Message) time.Duration {
	return m.At + scenario.Seconds(c.h.scenario.Classes[m.Class].Deadline) - c.h.now()
}

// submit submits a message once, and acts on the result as its client does.
func (c *clientPool) submit(planned plannedSubmission) {
	m := planned.message
	timeLeft := c.timeLeft(m)
	if timeLeft <= 0 || planned.number >= maxSubmissions {
		return
	}
	relay, openConnOnly := c.h.balancer.pick(m, planned.number)
	s := &submission{message: m, number: planned.number, rejections: planned.rejections, relay: relay, openConnOnly: openConnOnly}
	if s.relay == noRelay {
		c.submitLater(s.resubmission(), m.ResubmitDelay)
		return
	}
	s.id = c.h.random.RequestID(m.Number, s.number)
	s.expiresAt = c.h.now() + timeLeft
	response, err := c.exchange(s, timeLeft, planned.mark)
	switch {
	case errors.Is(err, errNotSubmitted):
		c.submitLater(s.resubmission(), m.ResubmitDelay)
	case err != nil:
		c.handleNoResponse(s, err)
	default:
		c.handleResponse(s, response)
	}
}

// handleNoResponse records that a client got no response. The relay may have accepted the message, so that the client resubmits it
// only if a second execution does no harm.
func (c *clientPool) handleNoResponse(s *submission, err error) {
	c.h.record(checker.Event{Kind: checker.AnswerMissed, ID: s.id, Relay: s.relay, State: err.Error(), OK: errors.Is(err, errNoResponse)})
	c.h.ledger.withdraw(s)
	if c.mayResubmit(s, s.message.ResubmitDelay) {
		c.submitLater(s.resubmission(), s.message.ResubmitDelay)
	}
}

// handleResponse records a relay's response, and has the client act on it.
func (c *clientPool) handleResponse(s *submission, response clientResponse) {
	event := checker.Event{Kind: checker.Answered, ID: s.id, Relay: s.relay, Status: response.status}
	accepted := response.status == http.StatusAccepted || response.status == http.StatusOK
	if !accepted {
		event.Duration = response.retryAfter
	}
	c.h.record(event)
	switch {
	case accepted:
		c.h.relays[s.relay].requestAccepted()
		c.h.ledger.accepted(s)
	case response.status == http.StatusTooManyRequests, response.status == http.StatusServiceUnavailable:
		c.retryRejected(s, response.retryAfter)
	}
}

// retryRejected has a client submit a rejected message again, with the backoff and up to the number of retries that were
// drawn for the message.
func (c *clientPool) retryRejected(s *submission, retryAfter time.Duration) {
	m := s.message
	if s.rejections >= len(m.Backoff) {
		return
	}
	delay := m.Backoff[s.rejections]
	if m.HonoursRetryAfter {
		delay = max(delay, min(retryAfter, scenario.Seconds(c.h.scenario.Limits.MaxRetryAfter)))
	}
	if !c.mayResubmit(s, delay) {
		return
	}
	mark := unmarked
	if c.h.scenario.Clients.MarkRetries {
		mark = markRetry
	}
	c.submitLater(plannedSubmission{message: m, number: s.number + 1, rejections: s.rejections + 1, mark: mark}, delay)
}

// mayResubmit reports whether a message may be submitted again after a delay. A message that may have been executed is
// submitted again only if a second execution does no harm.
func (c *clientPool) mayResubmit(s *submission, delay time.Duration) bool {
	now := c.h.ledger.state(s)
	mayHaveRunAt := now.mayHaveRunAt
	if mayHaveRunAt == 0 && now.inFlight > 0 {
		mayHaveRunAt = c.h.now()
	}
	if mayHaveRunAt == 0 {
		return true
	}
	switch class := &c.h.scenario.Classes[s.message.Class]; class.Idempotency {
	case scenario.IdempotentByKey:
		return c.h.now()+delay < mayHaveRunAt+scenario.Seconds(class.KeyTTL)
	case scenario.NotIdempotent:
		return false
	default:
		return true
	}
}

// resubmitLost has clients resubmit the messages that a relay held when its state was lost.
func (c *clientPool) resubmitLost(relay int) {
	for _, s := range c.h.ledger.takeHeldBy(relay) {
		if c.mayResubmit(s, s.message.ResubmitDelay) {
			c.submitLater(s.resubmission(), s.message.ResubmitDelay)
		}
	}
}
