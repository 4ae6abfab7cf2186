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

// maxSubmissions bounds how often one message is submitted, whatever happens to its relays.
const maxSubmissions = 12

// retryMark is the value of the header Client-Retry; empty: there is none.
type retryMark string

const (
	unmarked         retryMark = ""
	markResubmission retryMark = "again" // after a relay was not reached, or gave no answer
	markRetry        retryMark = "1"     // after a rejection, where the scenario's clients mark such
)

// clientPool is the clients: they submit messages, and resubmit them by the scenario's habits.
type clientPool struct {
	h        *harness
	messages []*scenario.Message // by number, the backlog's too
	busy     atomic.Int64        // messages whose client has something to do

	mu        sync.Mutex               // guards the fields below
	idleConns map[string][]*clientConn // by relay's address
	closed    bool
}

func newClientPool(h *harness, messages []*scenario.Message) *clientPool {
	return &clientPool{h: h, messages: messages, idleConns: map[string][]*clientConn{}}
}

// plannedSubmission is a submission that a client is about to make.
type plannedSubmission struct {
	message    *scenario.Message
	number     int // of the message's submissions, from 0
	rejections int // that its client has had before
	mark       retryMark
}

// resubmission plans the next submission of a message after one that no relay has answered.
func (s *submission) resubmission() plannedSubmission {
	return plannedSubmission{message: s.message, number: s.number + 1, rejections: s.rejections, mark: markResubmission}
}

// idle reports whether no client has anything to do.
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

// timeLeft returns how long a message may still be delivered.
func (c *clientPool) timeLeft(m *scenario.Message) time.Duration {
	return m.At + scenario.Seconds(c.h.scenario.Classes[m.Class].Deadline) - c.h.now()
}

// submit submits a message once, and does what its client then does.
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
		c.answerMissed(s, err)
	default:
		c.answered(s, response)
	}
}

// answerMissed has a client resubmit a message that a relay may have accepted, where that does no harm.
func (c *clientPool) answerMissed(s *submission, err error) {
	c.h.record(checker.Event{Kind: checker.AnswerMissed, ID: s.id, Relay: s.relay, State: err.Error(), OK: errors.Is(err, errNoResponse)})
	c.h.ledger.withdraw(s)
	if c.mayResubmit(s, s.message.ResubmitDelay) {
		c.submitLater(s.resubmission(), s.message.ResubmitDelay)
	}
}

// answered has a client act on a relay's response.
func (c *clientPool) answered(s *submission, response clientResponse) {
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

// retryRejected has a client submit a rejected message again, by its habits.
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

// mayResubmit reports whether a message may be submitted once more after a delay: one that may have been executed only
// where a repeat does no harm.
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

// resubmitLost has clients resubmit what a relay held that is gone with its state.
func (c *clientPool) resubmitLost(relay int) {
	for _, s := range c.h.ledger.takeHeldBy(relay) {
		if c.mayResubmit(s, s.message.ResubmitDelay) {
			c.submitLater(s.resubmission(), s.message.ResubmitDelay)
		}
	}
}
